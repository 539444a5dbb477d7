#include "cli/Flags.h"

#include <absl/flags/flag.h>

ABSL_FLAG(bool, json, false, "Print JSON instead of a table.");
ABSL_FLAG(bool, resolve, false,
          "Resolve an earlier apply with this --change-id whose outcome is "
          "unknown, or complete the change.");
ABSL_FLAG(bool, schema_markdown, false,
          "Print the reference tables of all keys and exit codes; takes no "
          "DIR.");
ABSL_FLAG(int, timeout_ms, 10000,
          "How long to retry while the platform does not answer, in ms.");
ABSL_FLAG(int, wait_ms, 6000,
          "How long to wait until entry VMs report the version in force, in "
          "ms.");
ABSL_FLAG(std::string, change_id, "", "ID of the change; generated if empty.");
ABSL_FLAG(std::string, entries, "",
          "Entry VMs (ip:port, comma-separated) to push the version to, in "
          "addition to those of the VM list.");
ABSL_FLAG(std::string, entry, "",
          "Entry VMs to query (ip:port, comma-separated).");
ABSL_FLAG(std::string, expected_version, "",
          "Apply only if this is the platform's current version (0: no "
          "configuration exists).");
ABSL_FLAG(std::string, log_level, "info",
          "Minimum severity to log: debug, info, warning or error.");
ABSL_FLAG(std::string, platform, "",
          "Base URL of the platform, such as http://127.0.0.1:7000.");
ABSL_FLAG(std::string, settings, "", "Settings file of an entry VM (JSON).");
