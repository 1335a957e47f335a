#ifndef PAPAYARACK_INTROSPECTION_STATUSSERVER_H_
#define PAPAYARACK_INTROSPECTION_STATUSSERVER_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "global/settings.h"

namespace papayarack::introspection {

/// Sources of a role's status; all are called on HTTP threads.
struct StatusSources {
  std::function<nlohmann::json()> dump;
  std::function<bool()> healthy;  ///< False when shutting down or not ready.
  std::function<std::string()> metrics;
};

/// A role's HTTP server for status: GET /v1/dump, /healthz and /metrics. Thread
/// safety: construct and destroy on one thread.
class StatusServer {
 public:
  /// Throws ResultError(kBadInput) when the address cannot be bound.
  StatusServer(const Endpoint& listen, StatusSources sources);
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::introspection

#endif  // PAPAYARACK_INTROSPECTION_STATUSSERVER_H_
