#include "http/exchangeledger.h"

#include <numeric>
#include <utility>

namespace papayarack::http {

std::string_view NameOf(ExchangeOutcome outcome) {
  switch (outcome) {
    case ExchangeOutcome::kAnswered:
      return "answered";
    case ExchangeOutcome::kRefused:
      return "refused";
    case ExchangeOutcome::kLeft:
      return "left";
    case ExchangeOutcome::kAborted:
      return "aborted";
    case ExchangeOutcome::kStalled:
      return "stalled";
    case ExchangeOutcome::kServerEnded:
      return "server_ended";
  }
  return "unknown";
}

std::uint64_t ExchangeCounts::Cut() const {
  return this->Ended(ExchangeOutcome::kAborted) +
         this->Ended(ExchangeOutcome::kStalled) +
         this->Ended(ExchangeOutcome::kServerEnded);
}

std::uint64_t ExchangeCounts::Open() const {
  return this->read - std::accumulate(this->ended.begin(), this->ended.end(),
                                      std::uint64_t{0});
}

void ExchangeLedger::Begin(ExchangeId exchange, std::string_view target,
                           Time now) {
  ++this->totals.read;
  this->open.emplace(exchange, Open{std::string(target), now});
}

void ExchangeLedger::End(ExchangeId exchange, ExchangeOutcome outcome,
                         Time now) {
  const auto found = this->open.find(exchange);
  if (found == this->open.end()) {
    return;
  }
  const Open ended = std::move(found->second);
  this->open.erase(found);
  ++this->totals.ended.at(static_cast<std::size_t>(outcome));
  if (IsCut(outcome) && this->on_cut) {
    this->on_cut(outcome, {exchange, ended.target, now - ended.read_at});
  }
}

void ExchangeLedger::EndAll(ExchangeOutcome outcome, Time now) {
  while (!this->open.empty()) {
    this->End(this->open.begin()->first, outcome, now);
  }
}

std::optional<ExchangeRecord> ExchangeLedger::Oldest(Time now) const {
  if (this->open.empty()) {
    return std::nullopt;
  }
  const auto& [exchange, oldest] = *this->open.begin();
  return ExchangeRecord{exchange, oldest.target, now - oldest.read_at};
}

}  // namespace papayarack::http
