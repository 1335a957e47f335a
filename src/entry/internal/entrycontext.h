#ifndef PAPAYARACK_ENTRY_INTERNAL_ENTRYCONTEXT_H_
#define PAPAYARACK_ENTRY_INTERNAL_ENTRYCONTEXT_H_

#include <atomic>

#include "control/controlclient.h"
#include "entry/fleetview.h"
#include "global/metrics.h"
#include "global/settings.h"
#include "transport/peerclient.h"

namespace papayarack::entry {

/// What the HTTP handlers of one entry share. Each member is safe from any
/// thread.
struct EntryContext {
  const Settings& settings;
  Metrics& metrics;
  FleetView& fleet;
  transport::PeerClient& client;
  control::ControlClient& control;
  std::atomic<bool>& leaving;
  std::atomic<std::size_t>& busy_connections;
};

inline constexpr std::chrono::milliseconds kControlPatience{8000};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_INTERNAL_ENTRYCONTEXT_H_
