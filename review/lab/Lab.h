#ifndef REVIEW_LAB_LAB_H
#define REVIEW_LAB_LAB_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/** Stand-ins for the platform's store, for servers and for consumers. */
namespace lab {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** Seconds since the program started. */
double Now();
void SleepFor(double aSeconds);

/** Writes lines with a time to record.txt and to standard output. */
class Record
{
public:
  static void Open(const std::string& aPath);
  static void Line(const std::string& aText);
  /** The same without a time, to the file only. */
  static void Quiet(const std::string& aText);
};

struct Address
{
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/** A port that was free when it was asked for. */
int FreePort(const std::string& aIp);
/** The first of 20 ports in a row that were free when it was asked for. */
int FreeBase(const std::string& aIp);

struct Message
{
  /** Request line or status line. */
  std::string line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /** Empty if there is no such field. */
  std::string Field(const std::string& aName) const;
  int Status() const;
  std::string Method() const;
  std::string Target() const;
};

/** A connected socket with a buffer for what was read beyond a message. */
class Stream
{
public:
  explicit Stream(int aFd)
    : fd_(aFd)
  {
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /** Null if the connection cannot be opened in time. */
  static std::unique_ptr<Stream> Connect(const Address& aTo, double aTimeout);

  bool Send(const std::string& aBytes);
  /** Empty at the end of the connection, on an error or after the timeout. */
  std::optional<Message> Read(double aTimeout);
  /** Whether the last Read ended because the peer closed or reset. */
  bool Ended() const { return ended_; }
  void Close();
  int Fd() const { return fd_; }

private:
  bool Fill(Time aUntil);

  int fd_ = -1;
  std::string buffer_;
  bool ended_ = false;
};

/** Accepts connections and serves each on a thread of its own. */
class Listener
{
public:
  using Handler = std::function<void(std::shared_ptr<Stream>)>;

  Listener(const Address& aAddress, Handler aHandler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /** Stops listening and ends all connections. */
  void Shut();

private:
  int fd_ = -1;
  Handler handler_;
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
  std::mutex mutex_;
  std::vector<std::thread> threads_;
  std::vector<std::weak_ptr<Stream>> streams_;
};

/** The platform's store: lists, watches, creation, replacement, removal. */
class Store
{
public:
  /** A list has at most aPage objects. */
  explicit Store(const Address& aAddress, std::size_t aPage = 500);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const Address& Where() const { return address_; }
  /** Creates or replaces an object; returns its revision. */
  std::uint64_t Put(const std::string& aKind,
                    const std::string& aName,
                    const std::string& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  std::size_t Count(const std::string& aKind);

private:
  struct Object
  {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::string spec;
    std::string status = "null";
  };
  struct Event
  {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool removed = false;
    Object object;
  };

  void Serve(const std::shared_ptr<Stream>& aStream);
  std::string Answer(const Message& aRequest);
  std::string List(const std::string& aKind, const std::string& aAfter);
  std::string Watch(const std::string& aKind,
                    std::uint64_t aSince,
                    Milliseconds aWait);
  static std::string ObjectText(const std::string& aName,
                                const Object& aObject);

  const Address address_;
  const std::size_t page_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
  std::atomic<bool> stopped_{ false };
  std::unique_ptr<Listener> listener_;
};

/** One arrival of a request at a server. */
struct Arrival
{
  double at = 0;
  std::string server;
  std::string id;
  std::string line;
  std::string body;
  bool ran = false;
};

/** A server of the platform. */
class Server
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    std::string zone = "z1";
    int slots = 6;
    double work = 0.05;
  };

  Server(const Address& aAddress, Options aOptions);

  const Address& Where() const { return address_; }
  const Options& What() const { return options_; }
  /** Its entry in the store. */
  std::string Entry(const std::string& aState,
                    std::uint64_t aSequence,
                    std::uint64_t aBorn) const;
  std::vector<Arrival> Arrivals() const;
  /** Time that a request takes; for requests that begin from now on. */
  void SetWork(double aSeconds) { work_ = aSeconds; }
  void SetDraining(bool aDraining) { draining_ = aDraining; }
  /** Ends the server: its connections break off. */
  void Exit() { listener_->Shut(); }

private:
  void Serve(const std::shared_ptr<Stream>& aStream);

  const Address address_;
  const Options options_;
  std::atomic<double> work_;
  std::atomic<bool> draining_{ false };
  std::atomic<int> running_{ 0 };
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::unique_ptr<Listener> listener_;
};

/** A process of lacewing-hostd. */
class Host
{
public:
  struct Options
  {
    std::string name;
    std::string ip;
    std::string zone = "z1";
    std::vector<std::string> zones{ "z1" };
    int basePort = 0;
    std::vector<std::string> seeds;
    std::string bounds;
    Address store;
  };

  Host(std::string aFolder, Options aOptions);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  void Start(bool aBootstrap);
  void Signal(int aSignal);
  /** Waits for the end of the process; false after the timeout. */
  bool WaitEnd(double aTimeout);
  bool Running();
  Address Front() const;
  Address Ready() const;
  bool IsReady() const;
  bool AwaitReady(double aTimeout) const;
  const std::string& Log() const { return log_; }

private:
  const std::string folder_;
  const Options options_;
  const std::string log_;
  int pid_ = -1;
  int status_ = 0;
};

/** How one request of a consumer ended. */
struct Outcome
{
  double sentAt = 0;
  double endedAt = 0;
  /** 0 without an answer. */
  int status = 0;
  /** Seconds; 0 without the field. */
  double retryAfter = 0;
  std::string body;
  std::string detail;
};

/** The bytes of a request. */
std::string RequestBytes(const std::string& aMethod,
                         const std::string& aHost,
                         const std::string& aPath,
                         const std::string& aId,
                         int aDeadlineMs,
                         const std::string& aBody = {},
                         const std::string& aFields = {});

/** Sends a request on a connection of its own. */
Outcome Send(const Address& aTo, const std::string& aBytes, double aTimeout);

/** Whether the file has a line with all of these texts after aAfter bytes. */
bool HasLine(const std::string& aFile, const std::vector<std::string>& aTexts);

/** An id that was not given out before. */
std::string NewId(const std::string& aPrefix);

} // namespace lab

#endif // REVIEW_LAB_LAB_H
