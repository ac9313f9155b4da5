#include "teaseldrift/placement/dispatcher.hpp"

namespace teaseldrift::placement {

Dispatcher::Dispatcher(const DispatcherOptions &options)
    : m_options(options), m_queue(options.queue)
{ }

queueing::PushResult Dispatcher::push(const queueing::QueuedRequest &queued,
                                      const RequestView &request, Instant now)
{
    queueing::PushResult result = m_queue.push(queued, now);
    if (result.displaced) {
        m_waiting.erase(result.displaced->id);
    }
    if (!result.refused) {
        m_waiting.emplace(queued.id,
                          WaitingRequest{.chain = {request.chain.begin(), request.chain.end()},
                                         .promptTokens = request.promptTokens,
                                         .outputTokens = request.outputTokens,
                                         .dispatchBy = queued.dispatchBy});
    }
    return result;
}

void Dispatcher::dequeue(uint64_t id, std::span<const uint64_t> head, Instant now)
{
    for (const uint64_t bypassedId : head) {
        if (bypassedId == id) {
            break;
        }
        ++m_waiting.at(bypassedId).bypassCount;
    }
    m_queue.take(id, now);
    m_waiting.erase(id);
}

bool Dispatcher::cancel(uint64_t id)
{
    m_waiting.erase(id);
    return m_queue.cancel(id);
}

std::vector<queueing::Refusal> Dispatcher::expire(Instant now)
{
    std::vector<queueing::Refusal> refusals = m_queue.expire(now);
    for (const queueing::Refusal &refusal : refusals) {
        m_waiting.erase(refusal.id);
    }
    return refusals;
}

} // namespace teaseldrift::placement
