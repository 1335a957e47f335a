#ifndef PAPAYARACK_COORDINATION_GROUPENVIRONMENT_H_
#define PAPAYARACK_COORDINATION_GROUPENVIRONMENT_H_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "replication/replicatedgroup.h"
#include "transport/peerclient.h"
#include "transport/peerdispatch.h"
#include "transport/peerserver.h"

namespace papayarack::coordination {

inline constexpr consensus::GroupId kCoordinationGroup = 0;
inline constexpr consensus::GroupId kJobGroup = 1;

/// Connects a group to the peer protocol: messages to `/group/N/message`, state
/// from `/group/N/state`. Registers both paths. Precondition: `group` is set
/// before a message can arrive.
replication::GroupEnvironment MakeGroupEnvironment(
    asio::io_context& context, consensus::GroupId group_id,
    const std::string& own_address, transport::PeerClient& peers,
    transport::PeerServer*& server, transport::PeerDispatch& dispatch,
    std::unique_ptr<replication::ReplicatedGroup>& group,
    std::function<void(const std::string&)> storage_failed);

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_GROUPENVIRONMENT_H_
