#ifndef STAND3_STAND_H
#define STAND3_STAND_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/** Stand-ins of the platform, its servers and consumers, and hostd itself. */
namespace stand {

/** Seconds since the program started. */
double Now();
void SleepFor(double aSeconds);
/** Whether the script runs with the disruption: TROUBLE is not 0. */
bool HasTrouble();

/** The record of a run; each line has the time. Safe for all threads. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  void Line(const std::string& aText);

private:
  std::mutex mutex_;
  FILE* file_;
};

struct Message
{
  std::string startLine;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /** The value of a field; empty without it. */
  std::string Field(const std::string& aName) const;
  /** The status of an answer; 0 if the start line has none. */
  int Status() const;
  /** The second word of a request's start line. */
  std::string Target() const;
};

/** One TCP connection with HTTP messages that state their length. */
class Channel
{
public:
  explicit Channel(int aSocket);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /** Connects within a second; null if that fails. */
  static std::unique_ptr<Channel> Connect(const std::string& aIp, int aPort);

  /** Empty at the end of the connection or after aTimeout seconds. */
  std::optional<Message> Read(double aTimeout);
  /** Waits until bytes are there; false after aTimeout seconds. */
  bool WaitForBytes(double aTimeout);
  bool Write(const std::string& aBytes);

private:
  bool Fill(double aTimeout);

  int socket_;
  std::string buffer_;
};

/** Calls the handler in a thread of its own for each connection. */
class Listener
{
public:
  Listener(const std::string& aIp,
           int aPort,
           std::function<void(Channel&)> aHandler);

private:
  int socket_;
};

/** The platform's store: objects by kind and name, lists in pages, watches. */
class Store
{
public:
  Store(const std::string& aIp, int aPort);
  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpec);
  std::size_t Count(const std::string& aKind);

private:
  struct Event
  {
    unsigned long revision;
    std::string kind;
    std::string object;
  };

  void Serve(Channel& aChannel);
  std::string Answer(const Message& aRequest);
  std::string List(const std::string& aKind, const std::string& aAfter);
  std::string Watch(const std::string& aKind,
                    unsigned long aFrom,
                    double aWait);
  std::string Create(const std::string& aKind, const std::string& aBody);

  std::mutex mutex_;
  std::condition_variable changed_;
  unsigned long revision_ = 100;
  std::map<std::string, std::map<std::string, std::string>> objects_;
  std::vector<Event> events_;
  std::unique_ptr<Listener> listener_;
};

/** What the settings file of a hostd process says. */
struct HostSettings
{
  std::string name;
  std::string ip;
  std::string zone;
  std::string storeAddress;
  std::vector<std::string> seeds;
};

constexpr int kFrontPort = 28420;
constexpr int kReadyPort = 28421;
constexpr int kControlPort = 28429;
constexpr int kInternalPort = 27260;

/** A hostd process; killed at the end. */
class Host
{
public:
  Host(const HostSettings& aSettings, const std::string& aFolder);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  /** Waits until the ready address answers 200. */
  bool WaitUntilReady(double aTimeout);
  bool Running();
  void Kill();
  const std::string& Ip() const { return settings_.ip; }

private:
  const HostSettings settings_;
  pid_t process_ = -1;
};

/** An object of kind servers for a ready server. */
std::string ServerEntry(const std::string& aService,
                        const std::string& aIp,
                        int aPort,
                        int aSlots);

} // namespace stand

#endif // STAND3_STAND_H
