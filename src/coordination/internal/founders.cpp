#include "coordination/founders.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace papayarack::coordination {

std::optional<consensus::MemberList> ChooseFounders(
    std::span<const NodeReport> stores, std::size_t wanted,
    bool waited_enough) {
  if (stores.empty() || (stores.size() < wanted && !waited_enough)) {
    return std::nullopt;
  }
  std::map<std::string, std::vector<const NodeReport*>> by_zone;
  for (const NodeReport& store : stores) {
    by_zone[store.zone].push_back(&store);
  }
  const std::size_t count = std::min(wanted, stores.size());
  consensus::MemberList founders;
  for (std::size_t round = 0; founders.members.size() < count; ++round) {
    for (const auto& [zone, here] : by_zone) {
      if (round < here.size() && founders.members.size() < count) {
        founders.members.push_back(
            {here[round]->member, here[round]->address, true});
      }
    }
  }
  return founders;
}

std::vector<replication::Candidate> CoordinationCandidates(
    std::span<const NodeReport> entries, bool leader_has_disk) {
  const bool any_disk =
      leader_has_disk ||
      std::ranges::any_of(entries, [](const NodeReport& report) {
        return report.member != 0 && report.durable;
      });
  std::vector<replication::Candidate> candidates;
  for (const NodeReport& report : entries) {
    if (report.member != 0 && (report.durable || !any_disk)) {
      candidates.push_back({report.member, report.address, report.zone, false});
    }
  }
  return candidates;
}

}  // namespace papayarack::coordination
