#ifndef PAPAYARACK_ENTRY_ENTRYSERVER_H_
#define PAPAYARACK_ENTRY_ENTRYSERVER_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "global/metrics.h"
#include "global/settings.h"

namespace papayarack::entry {

/// The role entry: callers' and operators' HTTP. Threads: one for each
/// connection being served, peer I/O, heartbeats. Thread safety: any thread.
class EntryServer {
 public:
  /// Throws ResultError(kBadInput) when the address cannot be bound.
  EntryServer(const Settings& settings, Metrics& metrics);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  /// Unhealthy from now on, so that the balancer moves on; requests are still
  /// served.
  void BeginLeave();
  /// Refuses new requests as not run, so that open answers can come to an end.
  void RefuseNew();
  /// Answers in progress. The process may go once there are none: the HTTP
  /// library cuts streams that are open when it is stopped.
  std::size_t OpenAnswers() const;
  nlohmann::json Dump() const;
  bool Healthy() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_ENTRYSERVER_H_
