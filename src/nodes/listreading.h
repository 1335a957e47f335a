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

/// State that a process keeps between reads of the platform's list. The figures
/// describe the read that ended last and are set before its `done` is called.
struct ListReaderState {
  LogThrottle skipped;   ///< Entries without a usable replica.
  LogThrottle failures;  ///< Failed reads.
  std::minstd_rand random{std::random_device{}()};
  std::size_t pages = 1;    ///< Pages of the list known so far.
  std::size_t refused = 0;  ///< Calls over the platform's rate limit.
};

/// Limits of one read of the list.
struct ListReadLimits {
  std::size_t max_pages = SearchBackoff::kMaxPages;
  std::size_t max_repeats = PageRetry::kMaxRepeats;  ///< For each page.
};

/// Reads the platform's list of replicas page by page, with retries according
/// to PageRetry. `done` gets nothing when the read failed, at the latest after
/// PageRetry::kMaxReadTime. A replica on two pages is returned once, as listed
/// on the later page. Entries without a usable replica are skipped and logged.
/// Precondition: `context`, `client`, `dialect` and `reader` outlive the read.
/// Thread safety: none, the loop's thread.
void ReadEngineList(
    asio::io_context& context, http::HttpClient& client, const Dialect& dialect,
    const Endpoint& list, ListReaderState& reader, const ListReadLimits& extent,
    std::function<
        void(std::optional<std::vector<coordination::EngineInstance>>)>
        done);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_LISTREADING_H_
