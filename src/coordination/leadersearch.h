#ifndef PAPAYARACK_COORDINATION_LEADERSEARCH_H_
#define PAPAYARACK_COORDINATION_LEADERSEARCH_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace papayarack::coordination {

/// A process's knowledge of the leader of one replicated group, and the order
/// in which to try processes to find it. Shared by all callers in a process:
/// with separate searches, operators' calls fail for lack of a leader while the
/// watch of the same process is in contact with it, because they try more
/// processes than their time allows. Does no I/O. Thread safety: none.
class LeaderSearch {
 public:
  /// Known addresses of the group's members.
  void SetMembers(std::vector<std::string> addresses);
  /// Addresses to start from; need not be members.
  void SetSeeds(std::vector<std::string> addresses);
  /// Other processes that may know a member. They do not answer calls to the
  /// leader.
  void SetOthers(std::vector<std::string> addresses);

  /// Empty while none is known.
  const std::string& leader() const { return this->known_leader; }
  const std::vector<std::string>& members() const {
    return this->known_members;
  }
  /// `address` answered as leader.
  void Found(std::string address);
  /// `address` did not answer.
  void Lost(std::string_view address);
  /// `address` is not the leader and names `hint`, which may be empty. A hint
  /// does not replace a leader that was found meanwhile.
  void Refused(std::string_view address, std::string hint);

  /// Target for a query that any process may answer: the leader or, while none
  /// is known, members and seeds in turn, alternating with the others. Empty if
  /// no address is known.
  std::string Next();
  /// Target for a call to the leader: the leader, unless it is `avoided`, or
  /// the next member. Seeds only while no member is known. Empty if no address
  /// is known.
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
