#ifndef PAPAYARACK_ENTRY_FLEETVIEW_H_
#define PAPAYARACK_ENTRY_FLEETVIEW_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/controlprotocol.h"
#include "documents/servicedocument.h"
#include "entry/retrybudget.h"
#include "entry/routercore.h"

namespace papayarack::entry {

/// A service as known to an entry.
struct KnownService {
  documents::ServiceDocument document;
  std::uint64_t revision = 0;
};

/// The documents and gates known to one entry, shared by its HTTP threads. A
/// lock around the single-threaded cores costs less than passing each routing
/// decision to another thread through a ring. Thread safety: any thread.
class FleetView {
 public:
  explicit FleetView(const RouterOptions& options) : router(options) {}

  /// Applies documents; older revisions of a service are ignored.
  void UpdateDocuments(const control::ChangesReply& changes);
  void UpdateFleet(const std::vector<fleet::FleetMember>& members,
                   bool settled);
  /// Returns the service called `name`, or the one that serves a model of that
  /// name.
  std::optional<KnownService> FindService(std::string_view name) const;
  std::vector<KnownService> Services() const;
  std::uint64_t Revision() const;
  /// Waits until this revision or a later one is known; false on timeout.
  bool WaitForRevision(std::uint64_t revision, Duration wait);

  std::optional<std::string> Choose(const RouteQuery& query);
  std::string AddressOf(std::string_view gate) const;
  void Finish(std::string_view gate);
  void Report(std::string_view gate, RouteOutcome outcome, Duration took);
  void MarkLeaving(std::string_view gate);
  std::vector<GateView> View() const;
  void CountRequest(std::string_view service);
  bool TryRetry(std::string_view service);

 private:
  mutable std::mutex mutex;
  std::condition_variable revision_changed;
  RouterCore router;
  std::map<std::string, KnownService, std::less<>> services;
  std::map<std::string, RetryBudget, std::less<>> budgets;
  std::uint64_t revision = 0;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_FLEETVIEW_H_
