/** @file gateway.h Processes of the project, started as the deploy file says.
 */

#ifndef REVIEW_COMMON_GATEWAY_H_
#define REVIEW_COMMON_GATEWAY_H_

#include <sys/types.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "net.h"
#include "record.h"

namespace review {

/** Bounds of the platform that the cases use, as in the site files. */
inline constexpr milliseconds kContact{3000};
inline constexpr milliseconds kDrain{2000};
inline constexpr milliseconds kConfigApply{2000};
inline constexpr milliseconds kLossSlack{200};
inline constexpr milliseconds kGrace{8000};
inline constexpr std::size_t kMemoryMb = 260;

/** Port of the store. */
inline constexpr int kStorePort = 8223;

/** Loopback addresses of one run. */
class Network {
 public:
  /** Chooses a network whose ports are free. */
  Network();

  Address At(int host, int port) const;

 private:
  std::string prefix;
};

/** A temporary folder, removed at the end. */
class ScratchFolder {
 public:
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

/** One gateway process on an address of its own. */
class Gateway {
 public:
  struct Plan {
    int number = 0;
    std::string zone = "zone-a";
    Address store;
    std::string seeds;  ///< Control addresses, separated by commas.
  };

  Gateway(const Network& network,
          Plan plan,
          const std::string& folder,
          Record& record);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /** @return The control address of a gateway's number. */
  static Address Control(const Network& network, int number);

  const Address& Front() const { return this->front; }

  void Start();
  void Signal(int signal) const;

  /** @return True if the process has ended. */
  bool HasEnded();

  /** @return Bytes of memory in use; 0 once it has ended. */
  std::size_t ResidentBytes() const;

  /** @return True if it says that it is ready. */
  bool IsReady() const;

  /** Waits until it says that it is ready. @return False if it takes too long.
   */
  bool AwaitReady(milliseconds timeout) const;

 private:
  Plan plan;
  Record& record;
  Address front;
  Address ready;
  std::string settings_path;
  std::string log_path;
  pid_t pid = -1;
};

/**
 * The platform's forwarding of new channels: asks each gateway once a second
 * whether it is ready and leaves it out after two misses, unless fewer than
 * half would be left.
 */
class Entry {
 public:
  explicit Entry(std::vector<const Gateway*> gateways);
  ~Entry();

  /** @return True if new channels go to this gateway. */
  bool Includes(std::size_t index) const;

 private:
  void Probe();

  std::vector<const Gateway*> gateways;
  std::vector<std::atomic<int>> misses;
  std::atomic<bool> is_stopping = false;
  std::thread thread;
};

}  // namespace review

#endif  // REVIEW_COMMON_GATEWAY_H_
