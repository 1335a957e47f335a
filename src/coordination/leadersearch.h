#ifndef PAPAYARACK_COORDINATION_LEADERSEARCH_H_
#define PAPAYARACK_COORDINATION_LEADERSEARCH_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace papayarack::coordination {

/// What a process knows of where the leader of one replicated group is, and
/// whom it asks next. All that ask in a process share one. Symptom guarded
/// against: operators' calls are refused for want of a leader while the watch
/// of the same process hears from it every second, because calls keep a leader
/// of their own and go round more processes to find it than they have time
/// for. Does no I/O. Thread safety: none.
class LeaderSearch {
 public:
  /// Addresses of the group's members as far as they are known.
  void SetMembers(std::vector<std::string> addresses);
  /// Addresses to start from, which need not be members.
  void SetSeeds(std::vector<std::string> addresses);
  /// Further processes that may know a member. They answer no calls to the
  /// leader.
  void SetOthers(std::vector<std::string> addresses);

  /// Empty while none is known.
  const std::string& leader() const { return this->known_leader; }
  const std::vector<std::string>& members() const {
    return this->known_members;
  }
  /// `address` has answered as leader.
  void Found(std::string address);
  /// `address` did not answer.
  void Lost(std::string_view address);
  /// `address` does not lead and names `hint`, which may be empty. A hint does
  /// not replace a leader that others have found meanwhile.
  void Refused(std::string_view address, std::string hint);

  /// Whom a question that any process may answer goes to: the leader or, while
  /// none is known, members and seeds in turn, with one of the others in
  /// between. Empty when no address is known.
  std::string Next();
  /// Whom a call to the leader goes to: the leader, unless it is `avoided`, or
  /// the next member. Seeds only while no member is known. Empty when no
  /// address is known.
  std::string NextForCall(std::string_view avoided);

 private:
  std::vector<std::string> MembersAndSeeds() const;

  std::string known_leader;
  std::vector<std::string> known_members;
  std::vector<std::string> seeds;
  std::vector<std::string> others;
  std::size_t rotation = 0;
  std::size_t others_rotation = 0;
  std::size_t call_rotation = 0;
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_LEADERSEARCH_H_
