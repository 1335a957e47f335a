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

/// A service as an entry knows it.
struct KnownService {
  documents::ServiceDocument document;
  std::uint64_t revision = 0;
};

/// What one entry knows of documents and gates, shared by its HTTP threads. A
/// lock around the pure cores costs less than a hop through a ring for each
/// choice. Thread safety: any thread.
class FleetView {
 public:
  explicit FleetView(const RouterOptions& options) : router(options) {}

  /// Takes documents; older revisions of a service are ignored.
  void TakeDocuments(const control::ChangesReply& changes);
  void TakeFleet(const std::vector<fleet::FleetMember>& members, bool settled);
  /// The service called `name`, or the one that runs a model called so.
  std::optional<KnownService> FindService(std::string_view name) const;
  std::vector<KnownService> Services() const;
  std::uint64_t Revision() const;
  /// Waits until at least this revision is known; false on timeout.
  bool WaitForRevision(std::uint64_t revision, Duration wait);

  std::optional<std::string> Choose(const RouteQuery& query);
  std::string AddressOf(std::string_view gate) const;
  void Finish(std::string_view gate);
  void Report(std::string_view gate, RouteOutcome outcome, Duration took);
  void MarkLeaving(std::string_view gate);
  std::vector<GateView> View() const;
  void CountRequest(std::string_view service);
  bool TryRepeat(std::string_view service);

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
