#ifndef PAPAYARACK_CLAIMS_CLAIMTABLE_H_
#define PAPAYARACK_CLAIMS_CLAIMTABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "global/messagecodec.h"
#include "global/resultcode.h"

namespace papayarack::claims {

enum class ClaimState : std::uint8_t {
  kRunning = 0,   ///< Granted; the request may have been sent.
  kAnswered = 1,  ///< The answer is stored.
  kUnknown = 2,   ///< May have run; the key is never granted again.
};

/// Claims the key of a non-repeatable request before its first byte is sent to
/// an upstream.
struct ClaimRequest {
  std::string owner;
  std::string key;
  std::string content_hash;
  std::string claim_id;  ///< Made once for each attempt to claim, so that a
                         ///< resend is recognised.
  std::int64_t now_ms = 0;
  std::int64_t keep_ms = 0;
  std::int64_t deadline_ms =
      0;  ///< Wall time at which a running claim becomes unknown.
  MSGPACK_DEFINE(owner, key, content_hash, claim_id, now_ms, keep_ms,
                 deadline_ms)
};

struct ClaimOutcome {
  int code = 0;  ///< kOk: go ahead. kAlreadyDone: `answer`. kStillRunning,
                 ///< kUnknownOutcome, kConflict.
  int status = 0;
  std::string content_type;
  std::string answer;
  MSGPACK_DEFINE(code, status, content_type, answer)
};

/// Outcome of a claimed request.
struct ClaimEnd {
  std::string owner;
  std::string key;
  std::string claim_id;
  std::uint8_t state = 0;
  bool not_run =
      false;  ///< Certainly not run: the claim is freed and may be made again.
  int status = 0;
  std::string content_type;
  std::string answer;
  MSGPACK_DEFINE(owner, key, claim_id, state, not_run, status, content_type,
                 answer)
};

/// Idempotency keys of non-repeatable requests: at most one request per key is
/// granted, through whichever entry it comes. Deterministic. Thread safety:
/// none.
class ClaimTable {
 public:
  ClaimOutcome Claim(const ClaimRequest& request);
  /// Records the end of a claim. Ignored unless `end` belongs to the running
  /// claim.
  void End(const ClaimEnd& end);
  /// Removes the claims whose retention has expired.
  void Expire(std::int64_t now_ms);
  std::size_t Count() const { return this->claims.size(); }
  std::string Save() const;
  void Load(std::string_view bytes);

 private:
  struct Entry {
    std::string content_hash;
    std::string claim_id;
    std::uint8_t state = 0;
    std::int64_t expires_ms = 0;
    std::int64_t deadline_ms = 0;
    int status = 0;
    std::string content_type;
    std::string answer;
    MSGPACK_DEFINE(content_hash, claim_id, state, expires_ms, deadline_ms,
                   status, content_type, answer)
  };
  using Key = std::pair<std::string, std::string>;
  std::map<Key, Entry> claims;
};

}  // namespace papayarack::claims

#endif  // PAPAYARACK_CLAIMS_CLAIMTABLE_H_
