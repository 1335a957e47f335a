#ifndef PAPAYARACK_QUOTAS_QUOTAMESSAGES_H_
#define PAPAYARACK_QUOTAS_QUOTAMESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "global/messagecodec.h"

/// Messages between an entry, which admits requests, and the leader, which
/// hands out credit for them. All numbers count since the entry's start, so
/// that lost and repeated messages do no harm.
namespace papayarack::quotas {

/// One organisation at one entry.
struct CreditReport {
  std::string organisation;
  std::uint64_t allowed = 0;  ///< Credit received.
  std::int64_t used = 0;      ///< Requests admitted, less those that never ran.
  std::uint64_t returned = 0;  ///< Credit given up.
  std::uint32_t needed = 0;    ///< Credit for requests that wait for it.
  std::uint32_t wanted = 0;    ///< Further credit to hold in advance.
  MSGPACK_DEFINE(organisation, allowed, used, returned, needed, wanted)

  std::int64_t Credit() const {
    return static_cast<std::int64_t>(this->allowed - this->returned) -
           this->used;
  }
};

struct ReportCredit {
  std::string entry;
  std::uint64_t incarnation = 0;  ///< New at every start of the entry.
  std::vector<CreditReport> organisations;
  MSGPACK_DEFINE(entry, incarnation, organisations)
};

struct CreditGrant {
  std::string organisation;
  std::uint64_t allowed = 0;  ///< As in CreditReport, with what is granted.
  /// If nothing was granted for requests that wait: until credit may be
  /// available.
  std::uint32_t wait_ms = 0;
  /// How soon the use of credit should be reported: what was used fills again
  /// from then on.
  std::uint32_t report_within_ms = 0;
  /// The highest limit for which credit was granted that the entry has not
  /// reported as received. Zero if not known: a leader of an earlier release.
  double limit_rate = 0;
  double limit_burst = 0;
  MSGPACK_DEFINE(organisation, allowed, wait_ms, report_within_ms, limit_rate,
                 limit_burst)
};

struct CreditReply {
  std::vector<CreditGrant> grants;
  MSGPACK_DEFINE(grants)
};

}  // namespace papayarack::quotas

#endif  // PAPAYARACK_QUOTAS_QUOTAMESSAGES_H_
