#ifndef PAPAYARACK_ENTRY_ENTRYSERVER_H_
#define PAPAYARACK_ENTRY_ENTRYSERVER_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "global/metrics.h"
#include "global/settings.h"

namespace papayarack::entry {

/// The server of the entry role: the HTTP APIs for callers and operators.
/// Threads: one per served connection, peer I/O, heartbeats. Thread safety: any
/// thread.
class EntryServer {
 public:
  /// Throws ResultError(kBadInput) when the address cannot be bound.
  EntryServer(const Settings& settings, Metrics& metrics);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /// Reports unhealthy from now on, so that the load balancer moves on;
  /// requests are still served.
  void BeginLeave();
  /// Refuses new requests with "not run", so that open answers can finish.
  void RefuseNew();
  /// Number of answers in progress. The process must not exit before it is
  /// zero: the HTTP library cuts open streams when it is stopped.
  std::size_t OpenAnswers() const;
  nlohmann::json Dump() const;
  bool Healthy() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_ENTRYSERVER_H_
