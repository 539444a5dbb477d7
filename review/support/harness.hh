// Stand-ins for the platform's store, searchers and clients, and control of
// entry VM processes, for the scripts in this folder. They follow
// PROTOCOL.md and DEPLOY.md and use no code of the project.
//
// Everything runs on loopback addresses. Each server uses one thread per
// connection, which keeps the order of events easy to follow.

#ifndef REVIEW_SUPPORT_HARNESS_H
#define REVIEW_SUPPORT_HARNESS_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using std::string;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline milliseconds sinceStart() {
  static const auto Start = SteadyClock::now();
  return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - Start);
}

/** Writes record.txt, one line per event with the time since the start. */
class Record {
public:
  static Record &get() {
    static Record Instance;
    return Instance;
  }
  void open(const string &File) { m_File.open(File, std::ios::trunc); }
  void line(const string &Text) {
    const std::lock_guard Lock(m_Mutex);
    char Time[32];
    std::snprintf(Time, sizeof Time, "%8.3f  ", sinceStart().count() / 1000.0);
    m_File << Time << Text << std::endl;
  }

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
};

inline void note(const string &Text) { Record::get().line(Text); }

inline void sleepMs(int Ms) { std::this_thread::sleep_for(milliseconds(Ms)); }

inline string lower(string Text) {
  for (char &Each : Text)
    Each = static_cast<char>(std::tolower(static_cast<unsigned char>(Each)));
  return Text;
}

struct Message {
  string m_FirstLine;
  string m_Method;
  string m_Path;
  string m_Query;
  int m_Status = 0;
  std::map<string, string> m_Headers; ///< Names in lower case.
  string m_Body;
  string header(const string &Name) const {
    const auto Found = m_Headers.find(Name);
    return Found == m_Headers.end() ? "" : Found->second;
  }
  string query(const string &Name) const {
    const string Key = Name + "=";
    size_t At = 0;
    while (At < m_Query.size()) {
      const size_t End = std::min(m_Query.find('&', At), m_Query.size());
      if (m_Query.compare(At, Key.size(), Key) == 0)
        return m_Query.substr(At + Key.size(), End - At - Key.size());
      At = End + 1;
    }
    return "";
  }
};

/** One TCP connection with a buffer. */
class Stream {
public:
  explicit Stream(int Descriptor) : m_Descriptor(Descriptor) {
    const int On = 1;
    ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  }
  ~Stream() { close(); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  bool write(const string &Bytes) {
    size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const auto Done = ::send(m_Descriptor, Bytes.data() + Sent,
                               Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Done <= 0)
        return false;
      Sent += static_cast<size_t>(Done);
    }
    return true;
  }
  /** Reads more bytes; false at the end, an error or \p TimeoutMs. */
  bool fill(int TimeoutMs) {
    pollfd Poll{m_Descriptor, POLLIN, 0};
    if (::poll(&Poll, 1, TimeoutMs) <= 0)
      return false;
    char Buffer[16384];
    const auto Count = ::recv(m_Descriptor, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      return false;
    m_Input.append(Buffer, static_cast<size_t>(Count));
    return true;
  }
  /** Reads one message with a Content-Length or without a body. */
  std::optional<Message> read(int TimeoutMs) {
    const auto End = SteadyClock::now() + milliseconds(TimeoutMs);
    const auto Left = [&] {
      return static_cast<int>(std::max<long long>(
          0, std::chrono::duration_cast<milliseconds>(End - SteadyClock::now())
                 .count()));
    };
    size_t HeadEnd;
    while ((HeadEnd = m_Input.find("\r\n\r\n")) == string::npos)
      if (!fill(Left()))
        return std::nullopt;
    Message Result = parseHead(m_Input.substr(0, HeadEnd));
    const size_t Length = static_cast<size_t>(
        std::strtoul(Result.header("content-length").c_str(), nullptr, 10));
    while (m_Input.size() < HeadEnd + 4 + Length)
      if (!fill(Left()))
        return std::nullopt;
    Result.m_Body = m_Input.substr(HeadEnd + 4, Length);
    m_Input.erase(0, HeadEnd + 4 + Length);
    return Result;
  }
  void shutdown() { ::shutdown(m_Descriptor, SHUT_RDWR); }
  void close() {
    if (m_Descriptor >= 0)
      ::close(m_Descriptor);
    m_Descriptor = -1;
  }
  string m_Input;

private:
  static Message parseHead(const string &Head) {
    Message Result;
    size_t At = 0;
    bool IsFirst = true;
    while (At <= Head.size()) {
      const size_t End = std::min(Head.find("\r\n", At), Head.size());
      const string Line = Head.substr(At, End - At);
      At = End + 2;
      if (IsFirst) {
        IsFirst = false;
        Result.m_FirstLine = Line;
        const size_t One = Line.find(' ');
        const size_t Two = Line.find(' ', One + 1);
        if (Line.rfind("HTTP/", 0) == 0) {
          Result.m_Status = std::atoi(Line.c_str() + One + 1);
        } else if (One != string::npos) {
          Result.m_Method = Line.substr(0, One);
          const string Target = Line.substr(One + 1, Two - One - 1);
          const size_t Mark = Target.find('?');
          Result.m_Path = Target.substr(0, Mark);
          Result.m_Query = Mark == string::npos ? "" : Target.substr(Mark + 1);
        }
        continue;
      }
      const size_t Colon = Line.find(':');
      if (Colon == string::npos)
        continue;
      string Value = Line.substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(' '));
      Result.m_Headers[lower(Line.substr(0, Colon))] = Value;
    }
    return Result;
  }
  int m_Descriptor;
};

using StreamPtr = std::shared_ptr<Stream>;

/** \p Host numbers the addresses of loopback: 1 is 127.0.0.1. */
inline sockaddr_in loopback(int Port, unsigned Host = 1) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + Host);
  return Address;
}

inline int boundPort(int Descriptor) {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

inline std::vector<int> freePorts(int Count) {
  std::vector<int> Descriptors;
  std::vector<int> Ports;
  for (int I = 0; I < Count; ++I) {
    const int Descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address = loopback(0);
    ::bind(Descriptor, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
    Ports.push_back(boundPort(Descriptor));
    Descriptors.push_back(Descriptor);
  }
  for (const int Each : Descriptors)
    ::close(Each);
  return Ports;
}

inline StreamPtr connectTo(int Port, unsigned Host = 1) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(Port, Host);
  if (::connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Descriptor);
    return nullptr;
  }
  return std::make_shared<Stream>(Descriptor);
}

/** HTTP/1.1 server. The handler writes the answer to the stream itself and
 *  returns whether the connection stays open. */
class Server {
public:
  using Handler = std::function<bool(const Message &, Stream &)>;
  explicit Server(Handler OnRequest, int Port = 0)
      : m_Handler(std::move(OnRequest)) {
    m_Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Address = loopback(Port);
    if (::bind(m_Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) != 0 ||
        ::listen(m_Listener, 256) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    m_Port = boundPort(m_Listener);
    m_AcceptThread = std::thread([this] { acceptAll(); });
  }
  ~Server() { stop(); }
  /** Ends the listener and all connections at once, as when a process ends. */
  void halt() {
    if (m_Stopped.exchange(true))
      return;
    ::shutdown(m_Listener, SHUT_RDWR);
    const std::lock_guard Lock(m_Mutex);
    for (const auto &Each : m_Streams)
      if (const auto Open = Each.lock())
        Open->shutdown();
  }
  /** Halts and waits for the handlers that still run. */
  void stop() {
    halt();
    if (!m_AcceptThread.joinable())
      return;
    m_AcceptThread.join();
    ::close(m_Listener);
    for (std::thread &Each : m_Threads)
      Each.join();
  }
  int port() const { return m_Port; }
  string address() const { return "127.0.0.1:" + std::to_string(m_Port); }

private:
  void acceptAll() {
    while (!m_Stopped) {
      const int Descriptor =
          ::accept4(m_Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Descriptor < 0)
        return;
      auto Connection = std::make_shared<Stream>(Descriptor);
      const std::lock_guard Lock(m_Mutex);
      if (m_Stopped)
        return;
      m_Streams.push_back(Connection);
      m_Threads.emplace_back([this, Connection] {
        while (!m_Stopped) {
          const auto Request = Connection->read(120000);
          if (!Request || !m_Handler(*Request, *Connection))
            break;
        }
        Connection->shutdown();
      });
    }
  }
  Handler m_Handler;
  int m_Listener = -1;
  int m_Port = 0;
  std::atomic<bool> m_Stopped{false};
  std::mutex m_Mutex;
  std::list<std::weak_ptr<Stream>> m_Streams;
  std::list<std::thread> m_Threads;
  std::thread m_AcceptThread;
};

inline string response(int Status, const string &Headers, const string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/** The platform's metadata store: listings, watches and writes. */
class Store {
public:
  Store()
      : m_Server([this](const Message &Request, Stream &Connection) {
          return handle(Request, Connection);
        }) {}
  string address() const { return m_Server.address(); }
  /** Creates or replaces an object; returns its revision. */
  unsigned long put(const string &Kind, const string &Name,
                    const string &Spec) {
    const std::lock_guard Lock(m_Mutex);
    ++m_Revision;
    const string Object = object(Name, m_Revision, Spec);
    m_Objects[Kind][Name] = {Object, Spec};
    m_Changes.push_back({m_Revision, Kind, Object, false});
    m_Changed.notify_all();
    note("store: put " + Kind + "/" + Name + " revision " +
         std::to_string(m_Revision) +
         (Kind == "servers" ? " " + Spec : string()));
    return m_Revision;
  }
  unsigned long remove(const string &Kind, const string &Name) {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Objects[Kind].find(Name);
    if (Found == m_Objects[Kind].end())
      return m_Revision;
    ++m_Revision;
    m_Changes.push_back({m_Revision, Kind,
                         object(Name, m_Revision, Found->second.second), true});
    m_Objects[Kind].erase(Found);
    m_Changed.notify_all();
    note("store: removed " + Kind + "/" + Name + " revision " +
         std::to_string(m_Revision));
    return m_Revision;
  }
  void stop() {
    {
      const std::lock_guard Lock(m_Mutex);
      m_Stopping = true;
      m_Changed.notify_all();
    }
    m_Server.stop();
  }

private:
  struct Change {
    unsigned long m_Revision;
    string m_Kind;
    string m_Object;
    bool m_Removed;
  };
  static string object(const string &Name, unsigned long Revision,
                       const string &Spec) {
    return R"({"meta":{"name":")" + Name + R"(","revision":)" +
           std::to_string(Revision) +
           R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + Spec +
           R"(,"status":null})";
  }
  bool handle(const Message &Request, Stream &Connection) {
    const string Prefix = "/api/objects/";
    if (Request.m_Path.rfind(Prefix, 0) != 0)
      return Connection.write(response(404, "", "{}"));
    const string Rest = Request.m_Path.substr(Prefix.size());
    const size_t Slash = Rest.find('/');
    const string Kind = Rest.substr(0, Slash);
    if (Request.m_Method == "GET" && !Request.query("watch").empty())
      return watch(Kind, Request, Connection);
    if (Request.m_Method == "GET")
      return list(Kind, Connection);
    return write(Kind, Slash == string::npos ? "" : Rest.substr(Slash + 1),
                 Request, Connection);
  }
  bool list(const string &Kind, Stream &Connection) {
    string Items;
    unsigned long Revision;
    {
      const std::lock_guard Lock(m_Mutex);
      for (const auto &[Name, Each] : m_Objects[Kind])
        Items += (Items.empty() ? "" : ",") + Each.first;
      Revision = m_Revision;
    }
    return Connection.write(response(200, "Content-Type: application/json\r\n",
                                     R"({"items":[)" + Items +
                                         R"(],"more":false,"current_rev":)" +
                                         std::to_string(Revision) + "}"));
  }
  bool watch(const string &Kind, const Message &Request, Stream &Connection) {
    const unsigned long After =
        std::strtoul(Request.query("watch").c_str(), nullptr, 10);
    const int WaitMs = std::atoi(Request.query("wait_ms").c_str());
    string Events;
    unsigned long Revision;
    {
      std::unique_lock Lock(m_Mutex);
      const auto Collect = [&] {
        Events.clear();
        for (const Change &Each : m_Changes)
          if (Each.m_Kind == Kind && Each.m_Revision > After)
            Events += (Events.empty() ? "" : ",") + string(R"({"tombstone":)") +
                      (Each.m_Removed ? "true" : "false") + R"(,"object":)" +
                      Each.m_Object + "}";
        return !Events.empty() || m_Stopping;
      };
      m_Changed.wait_for(Lock, milliseconds(WaitMs), Collect);
      Revision = m_Revision;
    }
    return Connection.write(response(200, "Content-Type: application/json\r\n",
                                     R"({"events":[)" + Events +
                                         R"(],"current_rev":)" +
                                         std::to_string(Revision) + "}"));
  }
  bool write(const string &Kind, string Name, const Message &Request,
             Stream &Connection) {
    const bool IsCreate = Request.m_Method == "POST";
    // The only writer here is the system, with objects of its own kinds.
    if (IsCreate) {
      const size_t At = Request.m_Body.find(R"("name":")");
      const size_t End = Request.m_Body.find('"', At + 8);
      Name = Request.m_Body.substr(At + 8, End - At - 8);
    }
    const size_t At = Request.m_Body.find(R"("spec":)");
    const string Spec =
        At == string::npos
            ? "{}"
            : Request.m_Body.substr(At + 7, Request.m_Body.size() - At - 8);
    bool Exists;
    {
      const std::lock_guard Lock(m_Mutex);
      Exists = m_Objects[Kind].count(Name) > 0;
    }
    if (IsCreate == Exists)
      return Connection.write(response(IsCreate ? 409 : 404, "", "{}"));
    put(Kind, Name, Spec);
    return Connection.write(response(200, "", "{}"));
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_Stopping = false;
  unsigned long m_Revision = 10;
  std::map<string, std::map<string, std::pair<string, string>>> m_Objects;
  std::vector<Change> m_Changes;
  Server m_Server;
};

/** Place of an entry VM in a fleet. */
struct VmPlace {
  string m_Zone = "zone-a";
  unsigned m_Host = 1;  ///< Its address, 127.0.0.m_Host.
  int m_GossipPort = 0; ///< The same on all VMs; 0: any free port.
  string m_Seed;        ///< Control address of another VM, if any.
};

/** One entry VM, run by the command of the deploy file. */
class EntryVm {
public:
  /** \p Folder is a temporary folder for its settings and output. */
  EntryVm(const string &Name, const string &Folder, const string &StoreAddress,
          const VmPlace &Place = {})
      : m_Name(Name), m_Folder(Folder), m_Host(Place.m_Host) {
    std::vector<int> Ports = freePorts(6);
    if (Place.m_GossipPort != 0)
      Ports[4] = Place.m_GossipPort;
    m_CallerPort = Ports[0];
    m_ReadinessPort = Ports[1];
    m_DirectoryPort = Ports[2];
    m_ControlPort = Ports[3];
    const auto At = [this](int Port) {
      return "\"127.0.0." + std::to_string(m_Host) + ":" +
             std::to_string(Port) + "\"";
    };
    std::ofstream(settings())
        << R"({"door": "routed", "vm": ")" << Name << R"(", "dataCentre": ")"
        << Place.m_Zone << R"(", "callerAddress": )" << At(Ports[0])
        << R"(, "readinessAddress": )" << At(Ports[1])
        << R"(, "directoryAddress": )" << At(Ports[2])
        << R"(, "controlAddress": )" << At(Ports[3]) << R"(, "gossipAddress": )"
        << At(Ports[4]) << R"(, "metricsAddress": )" << At(Ports[5])
        << R"(, "storeAddress": ")" << StoreAddress << R"(", "seeds": )"
        << (Place.m_Seed.empty() ? At(Ports[3]) : '"' + Place.m_Seed + '"')
        << R"(, "cpuShare": 1, "cores": 1, "descriptors": 2870,)"
        << R"( "graceSeconds": 6, "retryRatio": 0.2, "retrySlack": 116, "coldMultiplier": 1.5,)"
        << R"( "coldSlack": 5, "firstListDelaySeconds": 0,)"
        << R"( "directoryTtlSeconds": 5})" << std::endl;
  }
  ~EntryVm() { end(); }
  string controlAddress() const {
    return "127.0.0." + std::to_string(m_Host) + ":" +
           std::to_string(m_ControlPort);
  }
  StreamPtr connect() const { return connectTo(m_CallerPort, m_Host); }
  string settings() const { return m_Folder + "/" + m_Name + ".json"; }
  string output() const { return m_Folder + "/" + m_Name + ".log"; }
  bool start() {
    const pid_t Parent = ::getpid();
    m_Pid = ::fork();
    if (m_Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != Parent)
        ::_exit(1);
      const int Output =
          ::open(output().c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(Output, 1);
      ::dup2(Output, 2);
      ::setenv("QT_NO_GLIB", "1", 1);
      ::setenv("FIGTURN_BOOT", settings().c_str(), 1);
      const string Argument = "--settings=" + settings();
      ::execl("target/figturn", "target/figturn", "serve", Argument.c_str(),
              static_cast<char *>(nullptr));
      ::_exit(127);
    }
    note("started entry VM " + m_Name + ", callers at port " +
         std::to_string(m_CallerPort));
    for (int I = 0; I < 150; ++I) {
      if (isReady()) {
        note("entry VM " + m_Name + " is ready");
        return true;
      }
      if (hasEnded())
        return false;
      sleepMs(100);
    }
    return false;
  }
  bool isReady() const {
    const auto Connection = connectTo(m_ReadinessPort, m_Host);
    if (!Connection)
      return false;
    Connection->write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto Answer = Connection->read(1000);
    return Answer && Answer->m_Status == 200;
  }
  bool hasEnded() {
    if (m_Pid <= 0)
      return true;
    int Status = 0;
    if (::waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
      return false;
    m_Pid = -1;
    return true;
  }
  void signal(int Number) {
    if (m_Pid > 0)
      ::kill(m_Pid, Number);
  }
  void end() {
    if (m_Pid <= 0)
      return;
    ::kill(m_Pid, SIGCONT);
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, nullptr, 0);
    m_Pid = -1;
  }
  int m_CallerPort = 0;
  int m_ReadinessPort = 0;
  int m_DirectoryPort = 0;
  int m_ControlPort = 0;

private:
  string m_Name;
  string m_Folder;
  unsigned m_Host;
  pid_t m_Pid = -1;
};

/** Temporary folder, removed at the end. */
class TempFolder {
public:
  TempFolder() {
    const char *Base = std::getenv("TMPDIR");
    string Pattern = string(Base ? Base : "/tmp") + "/review-XXXXXX";
    m_Path = ::mkdtemp(Pattern.data()) ? Pattern : "";
    if (m_Path.empty())
      std::exit(2);
  }
  ~TempFolder() {
    for (const string &Each : m_Files)
      ::unlink(Each.c_str());
    ::rmdir(m_Path.c_str());
  }
  void owns(const EntryVm &Vm) {
    m_Files.push_back(Vm.settings());
    m_Files.push_back(Vm.output());
  }
  const string &path() const { return m_Path; }

private:
  string m_Path;
  std::vector<string> m_Files;
};

inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || string(Value) != "0";
}

/** Entry of a searcher, as it writes it to the store. */
struct SearcherEntry {
  string m_Service;
  string m_Address;
  string m_State = "ready";
  long long m_BornMs = 0;
  int m_Slots = 4;
  int m_Sequence = 1;
  string m_Zone = "zone-a";
  int m_ColdRemainingMs = 0;
  string text() const {
    return R"({"service":")" + m_Service + R"(","address":")" + m_Address +
           R"(","zone":")" + m_Zone + R"(","version":"v1","slots":)" +
           std::to_string(m_Slots) + R"(,"state":")" + m_State +
           R"(","cold_remaining_ms":)" + std::to_string(m_ColdRemainingMs) +
           R"(,"sequence":)" + std::to_string(m_Sequence) + R"(,"born":)" +
           std::to_string(m_BornMs) + "}";
  }
};

} // namespace review

#endif // REVIEW_SUPPORT_HARNESS_H
