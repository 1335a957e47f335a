#ifndef PAPAYARACK_NODES_LISTREADING_H_
#define PAPAYARACK_NODES_LISTREADING_H_

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "coordination/coordinationmessages.h"
#include "global/settings.h"
#include "http/httpclient.h"
#include "nodes/dialect.h"
#include "nodes/listpolling.h"
#include "nodes/logthrottle.h"

namespace papayarack::nodes {

/// What a process keeps from one reading of the platform's list to the next.
/// The figures are those of the reading that ended last, for its `done`.
struct ListReaderState {
  LogThrottle skipped;   ///< Entries that name no replica to use.
  LogThrottle failures;  ///< Readings that were given up.
  std::minstd_rand random{std::random_device{}()};
  std::size_t pages = 1;    ///< Of the list, as far as they were read.
  std::size_t refused = 0;  ///< Calls over the platform's rate.
};

/// How much of the list one reading asks for.
struct ListReadLimits {
  std::size_t max_pages = SearchBackoff::kMaxPages;
  std::size_t max_repeats = PageRetry::kMaxRepeats;  ///< Of each page.
};

/// Reads the platform's list of replicas, page by page. A page that is not
/// given is asked for again as PageRetry says; `done` gets nothing when the
/// reading was given up, at the latest after PageRetry::kMaxReadTime. An
/// entry that stands on two pages is given once, as the later one has it.
/// Entries that name no replica to use are left out and logged. Precondition:
/// `context`, `client`, `dialect` and `reader` outlive the reading. Thread
/// safety: none, the loop's thread.
void ReadEngineList(
    asio::io_context& context, http::HttpClient& client, const Dialect& dialect,
    const Endpoint& list, ListReaderState& reader, const ListReadLimits& extent,
    std::function<
        void(std::optional<std::vector<coordination::EngineInstance>>)>
        done);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_LISTREADING_H_
