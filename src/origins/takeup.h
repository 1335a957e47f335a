#ifndef PAPAYARACK_ORIGINS_TAKEUP_H_
#define PAPAYARACK_ORIGINS_TAKEUP_H_

#include <chrono>
#include <span>
#include <string>
#include <variant>

#include "global/timepoint.h"
#include "origins/continuation.h"

namespace papayarack::origins {

/// What a request waits for the list beyond the platform's lag: the list is
/// read every 0.5 s, and a reading takes some time to become known.
inline constexpr std::chrono::milliseconds kListReadingTime{700};
/// A large list is read less often, so a short lag shortens no wait.
inline constexpr std::chrono::milliseconds kMinListWait{1500};
/// Callers leave a stream that is silent for 2 s; what is left of that is for
/// the way to a replica.
inline constexpr std::chrono::milliseconds kMaxListWait{1700};

/// A request that takes a stream up.
struct TakeUpTiming {
  Time arrived{};
  Time deadline{};
  /// The platform's list shows a replica this long after it began to serve.
  Duration list_lag{};
};

/// The list has to be read once more, `read_after` or later.
struct AwaitListReading {
  Time read_after{};
};
using TakeUpStep = std::variant<Continuation, AwaitListReading>;

/// Decides where a stream without a record may go on by the platform's list
/// only if the list was read after the request's arrival by more than its lag:
/// an older list may not show the replica that began the stream, and a home
/// that does not answer, or that was not the stream's home, says nothing about
/// it. `list_read_after` is a lower bound of when the list that tells
/// `evidence.sole` was read; zero if it is not known. Decide again at `now`
/// when the list has been read, and every few tens of milliseconds: the wait
/// is bounded. Thread safety: any thread.
TakeUpStep DecideTakeUp(const OriginEvidence& evidence, Time list_read_after,
                        std::span<const std::string> services,
                        const TakeUpTiming& timing, Time now);

}  // namespace papayarack::origins

#endif  // PAPAYARACK_ORIGINS_TAKEUP_H_
