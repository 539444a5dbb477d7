#ifndef FIGTURN_REVIEW_HARNESS_H
#define FIGTURN_REVIEW_HARNESS_H

/**
 * Stand-ins for the review's scripts: the platform's store, searchers, clients
 * and the processes of figturn. Blocking sockets, one thread per connection,
 * loopback addresses only.
 */

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Exit codes of a case. */
enum Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/** Whether the disruption is applied (TROUBLE is not 0). */
bool hasTrouble();

void sleepMs(int Ms);

/** Thread-safe lines in record.txt, with the time since the start. */
class Record {
public:
  static void open(const std::string &File);
  static void line(const std::string &Text);
  static double nowMs();
};

using Headers = std::map<std::string, std::string>; ///< Names in lower case.

struct Message {
  std::string m_First; ///< Request or status line.
  std::string m_Method;
  std::string m_Target;
  int m_Status = 0;
  Headers m_Headers;
  std::string m_Body;
  bool m_Complete = false;
  std::string header(const std::string &Name) const;
};

/** One open TCP connection. */
class Connection {
public:
  explicit Connection(int Descriptor) : m_Descriptor(Descriptor) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /** Reads a head, and nothing of the body that hasn't arrived with it. */
  bool readHead(Message &Out, int TimeoutMs);
  /** Reads the body of the message whose head was read. */
  bool readBody(Message &Out, int TimeoutMs);
  bool write(const std::string &Bytes);
  /** Bytes received after the head and not yet taken. */
  std::size_t buffered() const { return m_Buffer.size(); }
  /** Closes with a TCP reset. */
  void reset();
  void close();
  bool isOpen() const { return m_Descriptor >= 0; }
  /** Whether the peer has closed or reset the connection. */
  bool peerClosed() const;

private:
  bool fill(int TimeoutMs);
  int m_Descriptor;
  std::string m_Buffer;
};

using ConnectionPtr = std::shared_ptr<Connection>;

ConnectionPtr connectTo(const std::string &Host, std::uint16_t Port,
                        int TimeoutMs = 1000);

/** Listens on a loopback address; each connection has a thread. */
class Server {
public:
  using Handler = std::function<void(Connection &)>;
  /** A receive buffer of 0 bytes stands for the system's default. */
  Server(const std::string &Host, std::uint16_t Port, Handler OnConnection,
         int ReceiveBuffer = 0);
  ~Server();
  std::uint16_t port() const { return m_Port; }
  std::string address() const;

private:
  struct State;
  std::string m_Host;
  std::uint16_t m_Port = 0;
  std::shared_ptr<State> m_State;
  std::thread m_Thread;
};

/** The platform's store, as PROTOCOL.md describes it. */
class Store {
public:
  Store();
  std::string address() const { return m_Server->address(); }
  void put(const std::string &Kind, const std::string &Name,
           const std::string &Spec);
  void remove(const std::string &Kind, const std::string &Name);
  /** Removes objects before a watch hears of any of them. */
  void removeTogether(const std::string &Kind,
                      const std::vector<std::string> &Names);
  /** Answers 503 to each call and cuts waiting watches. */
  void setDown(bool IsDown);

private:
  struct Object {
    std::uint64_t m_Revision;
    std::string m_Spec;
  };
  struct Change {
    std::uint64_t m_Revision;
    std::string m_Kind;
    std::string m_Event;
  };
  void serve(Connection &Peer);
  /** The caller holds m_Mutex. */
  void recordRemoval(const std::string &Kind, const std::string &Name);
  std::string objectText(const std::string &Name, const Object &Stored) const;

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::uint64_t m_Revision = 10;
  std::uint64_t m_Cut = 0; ///< Raised to cut the watches that wait.
  bool m_IsDown = false;
  std::map<std::string, std::map<std::string, Object>> m_Objects;
  std::vector<Change> m_History;
  std::unique_ptr<Server> m_Server;
};

/** Addresses and the process of one entry VM. */
class Vm {
public:
  Vm(const std::string &Name, const std::string &Host, const std::string &Store,
     const std::string &Seeds, const std::vector<std::uint16_t> &Ports,
     const std::string &ExtraSettings = "");
  ~Vm();
  void start();
  void signal(int Number);
  /** Waits for the end of the process; false if it still runs. */
  bool waitForExit(int TimeoutMs, int *Status = nullptr);
  bool isReady() const;
  bool waitUntilReady(int TimeoutMs) const;
  bool isRunning();
  std::string get(const std::string &Path) const; ///< From its control address.
  const std::string &host() const { return m_Host; }
  std::uint16_t port() const { return m_Ports[0]; }
  std::string control() const;
  pid_t pid() const { return m_Pid; }

private:
  std::string m_Name;
  std::string m_Host;
  std::vector<std::uint16_t> m_Ports;
  std::string m_File;
  pid_t m_Pid = -1;
};

/** Ports that are free on 127.0.0.1 now: callers, readiness, directory,
 *  control, gossip, metrics. */
std::vector<std::uint16_t> freePorts(std::size_t Count);

/** A temporary folder of the case, removed at its end. */
const std::string &folder();

/** Sends one request on \p Peer and reads the answer. */
Message exchange(Connection &Peer, const std::string &Method,
                 const std::string &Target, const std::string &Id,
                 int DeadlineMs, const std::string &Body = "",
                 const std::string &Host = "h.example");

std::string routeText(const std::string &Name, const std::string &Prefix,
                      const std::string &Kind, int TimeoutMs, int ObjectiveMs,
                      const std::string &Rest);
std::string configText(int Version, const std::string &Routes,
                       const std::string &Services,
                       std::size_t BodyLimit = 262144);
std::string serviceText(const std::string &Name, int ConnectionLimit);
std::string entryText(const std::string &Service, const std::string &Address,
                      const std::string &Zone, const std::string &State,
                      std::uint64_t Born, int Slots = 4);

std::string okAnswer(const Message &Request, const std::string &Stamp,
                     const std::string &Body, const std::string &Extra = "");

} // namespace review

#endif
