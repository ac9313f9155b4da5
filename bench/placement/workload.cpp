#include "workload.hpp"

#include <cmath>
#include <map>
#include <random>

#include "teaseldrift/hashing/block_chain.hpp"

namespace teaseldrift::bench {

namespace {

/// Probability that a request uses a document that an earlier request has used.
constexpr double repeatedDocumentProbability = 0.6;
/// Number of most recent documents of a section from which a repeated one is drawn.
constexpr uint32_t recentDocuments = 3;
constexpr uint32_t minUniqueTokens = 100;

std::vector<double> zipfWeights(uint32_t count, double exponent)
{
    std::vector<double> weights;
    for (uint32_t rank = 1; rank <= count; ++rank) {
        weights.push_back(1.0 / std::pow(rank, exponent));
    }
    return weights;
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

class Generator
{
public:
    Generator(const Site &site, const WorkloadOptions &options)
        : m_site(site), m_options(options), m_random(options.seed), m_topic(makeZipf(site.topics)),
          m_section(makeZipf(site.sectionsPerTopic))
    { }

    std::vector<ModelRequest> run()
    {
        std::vector<ModelRequest> requests;
        const std::vector<double> shares = organisationShares();
        Instant now{};
        while (true) {
            std::vector<double> rates = shares;
            if (m_options.flooding < rates.size()
                && now.time_since_epoch() >= m_options.floodFrom) {
                rates[m_options.flooding] *= m_options.floodFactor;
            }
            double total = 0.0;
            for (const double rate : rates) {
                total += rate * m_site.requestsPerSecond;
            }
            now += fromSeconds(std::exponential_distribution<double>(total)(m_random));
            if (now.time_since_epoch() >= m_options.length) {
                return requests;
            }
            std::discrete_distribution<uint32_t> organisation(rates.begin(), rates.end());
            requests.push_back(makeRequest(requests.size(), organisation(m_random), now));
        }
    }

private:
    std::discrete_distribution<uint32_t> makeZipf(uint32_t count) const
    {
        const std::vector<double> weights = zipfWeights(count, m_site.zipfExponent);
        return {weights.begin(), weights.end()};
    }

    uint32_t epoch(Instant now) const
    {
        return m_options.shiftInterval == Duration::zero()
                       ? 0
                       : static_cast<uint32_t>(now.time_since_epoch() / m_options.shiftInterval);
    }

    uint32_t nextDocument(uint32_t section)
    {
        uint32_t &newest = m_newestDocument[section];
        if (newest > 0 && std::bernoulli_distribution(repeatedDocumentProbability)(m_random)) {
            const uint32_t back = static_cast<uint32_t>(m_random() % recentDocuments);
            return newest > back ? newest - back : newest;
        }
        return ++newest;
    }

    ModelRequest makeRequest(uint64_t id, uint32_t organisation, Instant now)
    {
        // Strides move the most popular ranks to other topics and sections in each epoch.
        constexpr uint32_t topicStride = 5;
        constexpr uint32_t sectionStride = 7;
        const uint32_t topic = (m_topic(m_random) + topicStride * epoch(now)) % m_site.topics;
        const uint32_t section
                = (m_section(m_random) + sectionStride * epoch(now)) % m_site.sectionsPerTopic;
        const uint32_t sectionKey
                = (organisation * m_site.topics + topic) * m_site.sectionsPerTopic + section;
        const uint32_t document = nextDocument(sectionKey);
        const uint32_t uniqueTokens
                = minUniqueTokens
                  + static_cast<uint32_t>(m_random() % (m_site.maxUniqueTokens - minUniqueTokens));

        std::vector<uint32_t> blocks;
        blocks.insert(blocks.end(), m_site.topicBlocks, topic);
        blocks.insert(blocks.end(), m_site.sectionBlocks, section);
        blocks.insert(blocks.end(), m_site.documentBlocks, document);
        const uint32_t shared = static_cast<uint32_t>(blocks.size());
        blocks.insert(blocks.end(), uniqueTokens / m_site.blockTokens, static_cast<uint32_t>(id));
        const std::string name = organisationName(organisation);
        std::exponential_distribution<double> output(1.0 / m_site.meanOutputTokens);
        return {
                .id = id,
                .arrival = now,
                .organisation = organisation,
                .router = static_cast<uint32_t>(m_random() % m_site.routers),
                .chain = hashing::hashTokenChain({.organisation = name, .model = m_site.name},
                                                 blocks, {.blockTokens = 1}),
                .promptTokens = shared * m_site.blockTokens + uniqueTokens,
                .outputTokens = 1 + static_cast<uint32_t>(output(m_random)),
        };
    }

    const Site &m_site;
    const WorkloadOptions &m_options;
    std::mt19937_64 m_random;
    std::discrete_distribution<uint32_t> m_topic;
    std::discrete_distribution<uint32_t> m_section;
    std::map<uint32_t, uint32_t> m_newestDocument;
};

} // namespace

Site kinlochAndBaird()
{
    return {.name = "kinloch-baird"};
}

Site cropAcreage()
{
    return {
            .name = "crop-acreage",
            .engines = 10,
            .cacheBlocks = 400,
            .crossZoneDelay = 1000us,
            .weightsLoadTime = 1200ms,
            .concurrentLoads = 2,
            .requestsPerSecond = 15.0,
            .topics = 10,
            .sectionsPerTopic = 12,
            .topicBlocks = 6,
            .sectionBlocks = 4,
            .documentBlocks = 2,
            .maxUniqueTokens = 2500,
            .meanOutputTokens = 220,
    };
}

std::vector<double> organisationShares()
{
    return {0.40, 0.28, 0.16, 0.10, 0.06};
}

std::string organisationName(uint32_t organisation)
{
    return "organisation-" + std::to_string(organisation);
}

std::vector<ModelRequest> makeWorkload(const Site &site, const WorkloadOptions &options)
{
    return Generator(site, options).run();
}

} // namespace teaseldrift::bench
