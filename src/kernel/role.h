/** @file role.h Roles of the daemon, as plug-ins that register themselves. */

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

/** What the kernel gives to a role. */
struct RoleContext {
  const Settings& settings;
  WorkerPool& pool;
};

/** What one process of the fleet does. */
class Role {
 public:
  virtual ~Role() = default;

  /** Binds addresses and starts tasks. */
  virtual void Start() = 0;

  /** Takes no new work from now on; running work goes on. */
  virtual void BeginDrain() = 0;

  /** @return Names of the calls in flight. */
  virtual std::vector<std::string> InFlight() const = 0;

  /** Accepts no further connections. */
  virtual void StopAccepting() = 0;

  /** @return Exchanges that are not over yet, refusals included. */
  virtual std::size_t OpenExchanges() const = 0;

  /** @return What the process has in force, for operators. */
  virtual nlohmann::json Status() const = 0;
};

/** A kind of role; registers itself by static construction. */
class RoleFactory {
 public:
  using Maker = std::function<std::unique_ptr<Role>(const RoleContext&)>;

  RoleFactory(std::string name, std::string description, Maker maker);

  const std::string& Name() const { return this->name; }
  const std::string& Description() const { return this->description; }
  std::unique_ptr<Role> Make(const RoleContext& context) const {
    return this->maker(context);
  }

  /** @return The factory of a name, or null. */
  static const RoleFactory* Find(const std::string& name);

  /** @return All factories that are linked in. */
  static const std::vector<const RoleFactory*>& All();

 private:
  std::string name;
  std::string description;
  Maker maker;
};

}  // namespace buckthornpath

#endif  // SRC_KERNEL_ROLE_H_
