/** @file role.h Roles of the daemon and the registry of their factories. */

#ifndef SRC_KERNEL_ROLE_H_
#define SRC_KERNEL_ROLE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/http_server.h"
#include "kernel/settings.h"
#include "kernel/worker_pool.h"

namespace buckthornpath {

/** Settings and thread pool of the process that runs a role. */
struct RoleContext {
  const Settings& settings;
  WorkerPool& pool;
};

/** Function of a process in the fleet, such as router or endpoint. */
class Role {
 public:
  virtual ~Role() = default;

  /** Binds addresses and starts tasks. */
  virtual void Start() = 0;

  /** Refuses new work from now on; running work continues. */
  virtual void BeginDrain() = 0;

  /** @return Names of the calls in flight, for logs and operators. */
  virtual std::vector<std::string> InFlight() const = 0;

  /** @return What each call in flight waits for, for logs. */
  virtual nlohmann::json DescribeInFlight() const { return this->InFlight(); }

  /** Stops accepting connections; open connections are still served. */
  virtual void StopAccepting() = 0;

  /** Ends the calls in flight with a response each, as far as they have none:
   * the process ends shortly. The default leaves them to the end of the
   * process.
   */
  virtual void CutOffCalls() {}

  /** @return Number of unfinished HTTP exchanges, including refusals. */
  virtual std::size_t OpenExchanges() const = 0;

  /** Ends a quarantine of requests.
   * @param segment Its hexadecimal id, as in Status().
   * @return False if there is none. */
  virtual bool LiftQuarantine(const std::string& /*segment*/) { return false; }

  /** @return State of the process for operators, such as its configuration. */
  virtual nlohmann::json Status() const = 0;
};

/** Factory of a role; registers itself on static initialisation. */
class RoleFactory {
 public:
  using Maker = std::function<std::unique_ptr<Role>(const RoleContext&)>;

  RoleFactory(std::string name, std::string description, Maker maker);

  const std::string& Name() const { return this->name; }
  const std::string& Description() const { return this->description; }
  std::unique_ptr<Role> Create(const RoleContext& context) const {
    return this->maker(context);
  }

  /** @return The factory of a role name, or null. */
  static const RoleFactory* Find(const std::string& name);

  /** @return The factories of all roles linked into the program. */
  static const std::vector<const RoleFactory*>& All();

 private:
  std::string name;
  std::string description;
  Maker maker;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_ROLE_H_
