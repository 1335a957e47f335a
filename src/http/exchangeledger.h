#ifndef PAPAYARACK_HTTP_EXCHANGELEDGER_H_
#define PAPAYARACK_HTTP_EXCHANGELEDGER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "global/timepoint.h"

namespace papayarack::http {

/// Identifies one request and its response; unique for the lifetime of the
/// server.
using ExchangeId = std::uint64_t;

/// How a request that was read whole ended.
enum class ExchangeOutcome : std::uint8_t {
  kAnswered,  ///< A complete response below 400 was sent.
  kRefused,   ///< A complete response of 400 or above was sent.
  kLeft,      ///< The client closed the connection, or its side of it, first.
  kAborted,   ///< Cut: its owner ended the response before it was complete.
  kStalled,   ///< Cut: the client took nothing of its response for too long.
  kServerEnded,  ///< Cut: the server ended while it was open.
};
inline constexpr std::size_t kExchangeOutcomes = 6;

/// True for an end without a complete response that the client didn't cause.
constexpr bool IsCut(ExchangeOutcome outcome) {
  return outcome == ExchangeOutcome::kAborted ||
         outcome == ExchangeOutcome::kStalled ||
         outcome == ExchangeOutcome::kServerEnded;
}

std::string_view NameOf(ExchangeOutcome outcome);

/// Number of requests read whole, and of those that ended, by outcome.
struct ExchangeCounts {
  std::uint64_t read = 0;
  std::array<std::uint64_t, kExchangeOutcomes> ended{};

  std::uint64_t Ended(ExchangeOutcome outcome) const {
    return this->ended.at(static_cast<std::size_t>(outcome));
  }
  std::uint64_t Cut() const;
  /// Requests read without an outcome yet.
  std::uint64_t Open() const;
};

/// A request that is open or was cut.
struct ExchangeRecord {
  ExchangeId exchange = 0;
  std::string target;
  Duration age{};  ///< Since it was read whole.
};

/// The requests that one server read whole, each of which ends with exactly one
/// outcome. Thread safety: none.
class ExchangeLedger {
 public:
  using OnCut = std::function<void(ExchangeOutcome, const ExchangeRecord&)>;

  /// `on_cut` is called for each request that is cut; it may be empty.
  explicit ExchangeLedger(OnCut on_cut = {}) : on_cut(std::move(on_cut)) {}

  /// Precondition: `exchange` is new.
  void Begin(ExchangeId exchange, std::string_view target, Time now);
  /// Ignored when the exchange has ended: its first outcome counts.
  void End(ExchangeId exchange, ExchangeOutcome outcome, Time now);
  void EndAll(ExchangeOutcome outcome, Time now);
  const ExchangeCounts& counts() const { return this->totals; }
  /// The open request that was read first; nothing if none is open.
  std::optional<ExchangeRecord> Oldest(Time now) const;

 private:
  struct Open {
    std::string target;
    Time read_at{};
  };

  OnCut on_cut;
  ExchangeCounts totals;
  std::map<ExchangeId, Open> open;
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_EXCHANGELEDGER_H_
