#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "teaseldrift/http/event_loop.hpp"
#include "teaseldrift/store/store.hpp"

namespace teaseldrift::relay {

/// @brief How a feed asks the store.
struct PrefixFeedOptions
{
    std::string prefix;
    /// Longest time that the store holds a call back for a change.
    Duration wait = 10s;
    /// Optional; tells the pause between an answer and the next call, which bounds the price of
    /// prefixes that change often.
    std::function<Duration()> pause;
    /// Pause after a failed call; doubles with each further one.
    Duration firstRetry = 100ms;
    Duration longestRetry = 1s;
};

/// @brief What a feed tells.
struct PrefixFeedHandlers
{
    /// All entries of the prefix; entries that are missing no longer exist.
    std::function<void(const store::StoreSnapshot &)> onAll;
    /// Changes since the last call.
    std::function<void(const store::StoreSnapshot &)> onChanges;
    /// The first failed call after a good one.
    std::function<void(std::error_code)> onLost;
    /// The first good call after a failed one.
    std::function<void()> onRegained;
};

/// @brief Follows one prefix of a store: reads it whole, then asks for changes from there on.
///
/// Goes on through outages, and reads anew when the store has dropped the changes it needs.
template <store::PolledStore Store>
class PrefixFeed
{
public:
    PrefixFeed(http::EventLoop &loop, Store &store, PrefixFeedOptions options,
               PrefixFeedHandlers handlers)
        : m_loop(loop), m_store(store), m_options(std::move(options)),
          m_handlers(std::move(handlers))
    { }

    ~PrefixFeed() { m_loop.cancelTimer(m_timer); }
    PrefixFeed(const PrefixFeed &) = delete;
    PrefixFeed &operator=(const PrefixFeed &) = delete;

    void start() { readAll(); }

    /// @brief Whether the last call was answered.
    [[nodiscard]] bool isConnected() const { return m_isConnected; }

private:
    void readAll()
    {
        m_store.readPrefix(m_options.prefix, store::ReadAge::Current,
                           [this](std::error_code error, const store::StoreSnapshot &snapshot) {
                               if (error) {
                                   failed(error);
                                   return;
                               }
                               succeeded();
                               m_needsAll = false;
                               m_revision = snapshot.revision;
                               m_handlers.onAll(snapshot);
                               later(pause());
                           });
    }

    void askForChanges()
    {
        m_store.waitForChanges(m_options.prefix, m_revision, m_options.wait,
                               [this](std::error_code error, const store::StoreSnapshot &changes) {
                                   if (error == store::StoreError::HistoryGone) {
                                       m_needsAll = true;
                                       readAll();
                                       return;
                                   }
                                   if (error) {
                                       failed(error);
                                       return;
                                   }
                                   succeeded();
                                   m_revision = std::max(m_revision, changes.revision);
                                   if (!changes.entries.empty()) {
                                       m_handlers.onChanges(changes);
                                   }
                                   later(pause());
                               });
    }

    void ask()
    {
        if (m_needsAll) {
            readAll();
        } else {
            askForChanges();
        }
    }

    [[nodiscard]] Duration pause() const
    {
        return m_options.pause ? m_options.pause() : Duration(0);
    }

    void later(Duration pause)
    {
        m_timer = m_loop.startTimer(pause, [this] { ask(); });
    }

    void succeeded()
    {
        m_retry = m_options.firstRetry;
        if (!m_isConnected) {
            m_isConnected = true;
            m_handlers.onRegained();
        }
    }

    void failed(std::error_code error)
    {
        if (m_isConnected) {
            m_isConnected = false;
            m_handlers.onLost(error);
        }
        const Duration pause = m_retry == Duration(0) ? m_options.firstRetry : m_retry;
        m_retry = std::min(pause * 2, m_options.longestRetry);
        later(pause);
    }

    http::EventLoop &m_loop;
    Store &m_store;
    PrefixFeedOptions m_options;
    PrefixFeedHandlers m_handlers;
    uint64_t m_revision = 0;
    bool m_needsAll = true;
    bool m_isConnected = false;
    Duration m_retry{0};
    http::EventLoop::TimerId m_timer = 0;
};

} // namespace teaseldrift::relay
