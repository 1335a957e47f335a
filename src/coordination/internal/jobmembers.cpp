#include "coordination/jobmembers.h"

#include <algorithm>

namespace papayarack::coordination {

const NodeReport* NewestJobLeader(std::span<const NodeReport> nodes) {
  const NodeReport* newest = nullptr;
  for (const NodeReport& node : nodes) {
    const bool reports_members =
        node.Role() == NodeRole::kStore && !node.job_members.empty();
    if (reports_members &&
        (newest == nullptr || node.job_term > newest->job_term)) {
      newest = &node;
    }
  }
  return newest;
}

std::vector<std::string> JobCallOrder(std::span<const NodeReport> nodes) {
  std::vector<std::string> members;
  const NodeReport* leader = NewestJobLeader(nodes);
  if (leader != nullptr) {
    members = leader->job_members;
    // The leader comes first, even if it has left its group since.
    std::erase(members, leader->address);
    members.insert(members.begin(), leader->address);
  }
  std::vector<std::string> others;
  for (const NodeReport& node : nodes) {
    const bool member =
        std::ranges::find(members, node.address) != members.end();
    if (node.Role() == NodeRole::kStore && !member) {
      others.push_back(node.address);
    }
  }
  if (members.empty() || others.empty()) {
    return members.empty() ? others : members;
  }
  std::vector<std::string> order;
  for (std::size_t i = 0; i < std::max(members.size(), others.size()); ++i) {
    order.push_back(members[i % members.size()]);
    order.push_back(others[i % others.size()]);
  }
  return order;
}

}  // namespace papayarack::coordination
