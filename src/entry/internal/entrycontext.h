#ifndef PAPAYARACK_ENTRY_INTERNAL_ENTRYCONTEXT_H_
#define PAPAYARACK_ENTRY_INTERNAL_ENTRYCONTEXT_H_

#include <httplib.h>

#include <atomic>

#include "control/controlclient.h"
#include "entry/fleetview.h"
#include "entry/internal/httperror.h"
#include "global/metrics.h"
#include "global/settings.h"
#include "transport/peerclient.h"

namespace papayarack::entry {

/// State shared by the HTTP handlers of one entry. Each member may be used from
/// any thread.
struct EntryContext {
  const Settings& settings;
  Metrics& metrics;
  FleetView& fleet;
  transport::PeerClient& client;
  control::ControlClient& control;
  std::atomic<bool>& leaving;
  std::atomic<std::size_t>& busy_connections;
  std::atomic<std::size_t>& open_answers;
};

inline constexpr std::chrono::milliseconds kControlCallTimeout{8000};

/// Counts one answer in progress for its lifetime. Answers hold it by a shared
/// pointer, since the HTTP library copies content providers.
class OpenAnswer {
 public:
  explicit OpenAnswer(EntryContext& context) : context(context) {
    ++this->context.open_answers;
  }
  ~OpenAnswer() { --this->context.open_answers; }
  OpenAnswer(const OpenAnswer&) = delete;
  OpenAnswer& operator=(const OpenAnswer&) = delete;

 private:
  EntryContext& context;
};

/// Creates HTTP handlers that turn exceptions into error responses.
class GuardedRoutes {
 public:
  using Handler = void (*)(EntryContext&, const httplib::Request&,
                           httplib::Response&);
  explicit GuardedRoutes(EntryContext& context) : context(context) {}

  httplib::Server::Handler operator()(Handler handler) const {
    return [&shared = this->context, handler](const httplib::Request& request,
                                              httplib::Response& response) {
      const OpenAnswer open(shared);
      Guarded(response, [&] { handler(shared, request, response); });
    };
  }

 private:
  EntryContext& context;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_ENTRYCONTEXT_H_
