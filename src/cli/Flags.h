#ifndef FIGTURN_CLI_FLAGS_H
#define FIGTURN_CLI_FLAGS_H

/** Flags of all subcommands; each subcommand lists those that it accepts. */

#include <absl/flags/declare.h>
#include <string>

ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(bool, resolve);
ABSL_DECLARE_FLAG(bool, schema_markdown);
ABSL_DECLARE_FLAG(int, timeout_ms);
ABSL_DECLARE_FLAG(int, wait_ms);
ABSL_DECLARE_FLAG(std::string, change_id);
ABSL_DECLARE_FLAG(std::string, entries);
ABSL_DECLARE_FLAG(std::string, entry);
ABSL_DECLARE_FLAG(std::string, expected_version);
ABSL_DECLARE_FLAG(std::string, log_level);
ABSL_DECLARE_FLAG(std::string, platform);
ABSL_DECLARE_FLAG(std::string, settings);

#endif // FIGTURN_CLI_FLAGS_H
