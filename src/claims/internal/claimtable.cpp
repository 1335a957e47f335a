#include "claims/claimtable.h"

namespace papayarack::claims {

ClaimOutcome ClaimTable::Claim(const ClaimRequest& request) {
  ClaimOutcome outcome;
  const auto [place, fresh] =
      this->claims.try_emplace({request.owner, request.key});
  Entry& entry = place->second;
  if (fresh) {
    entry.content_hash = request.content_hash;
    entry.claim_id = request.claim_id;
    entry.expires_ms = request.now_ms + request.keep_ms;
    entry.deadline_ms = request.deadline_ms;
    return outcome;
  }
  if (entry.content_hash != request.content_hash) {
    outcome.code = static_cast<int>(ResultCode::kConflict);
    return outcome;
  }
  if (entry.claim_id == request.claim_id &&
      entry.state == static_cast<std::uint8_t>(ClaimState::kRunning)) {
    return outcome;  // The answer to the claim was lost and the entry repeats
                     // it; it has not sent the request yet.
  }
  switch (static_cast<ClaimState>(entry.state)) {
    case ClaimState::kAnswered:
      outcome.code = static_cast<int>(ResultCode::kAlreadyDone);
      outcome.status = entry.status;
      outcome.content_type = entry.content_type;
      outcome.answer = entry.answer;
      return outcome;
    case ClaimState::kUnknown:
      outcome.code = static_cast<int>(ResultCode::kUnknownOutcome);
      return outcome;
    case ClaimState::kRunning:
      break;
  }
  // No request runs past its deadline, but whether this one ran is unknown: the
  // entry that claimed it may have failed before or after sending the first
  // byte.
  const bool overdue = request.now_ms > entry.deadline_ms;
  outcome.code = static_cast<int>(overdue ? ResultCode::kUnknownOutcome
                                          : ResultCode::kStillRunning);
  return outcome;
}

void ClaimTable::End(const ClaimEnd& end) {
  const auto found = this->claims.find({end.owner, end.key});
  if (found == this->claims.end() || found->second.claim_id != end.claim_id ||
      found->second.state != static_cast<std::uint8_t>(ClaimState::kRunning)) {
    return;
  }
  if (end.not_run) {
    this->claims.erase(found);
    return;
  }
  found->second.state = end.state;
  found->second.status = end.status;
  found->second.content_type = end.content_type;
  found->second.answer = end.answer;
}

void ClaimTable::Expire(std::int64_t now_ms) {
  std::erase_if(this->claims, [now_ms](const auto& entry) {
    return entry.second.expires_ms <= now_ms;
  });
}

std::string ClaimTable::Save() const { return EncodeMessage(this->claims); }

void ClaimTable::Load(std::string_view bytes) {
  this->claims = DecodeMessage<std::map<Key, Entry>>(bytes);
}

}  // namespace papayarack::claims
