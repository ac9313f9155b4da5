#include "teaseldrift/hashing/block_chain.hpp"

#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace teaseldrift::hashing {

namespace {

constexpr ChainOptions shortBlocks{.blockTokens = 2, .bytesPerToken = 2};
constexpr size_t blockBytes = 4;

size_t commonBlocks(std::span<const BlockHash> left, std::span<const BlockHash> right)
{
    size_t count = 0;
    while (count < left.size() && count < right.size() && left[count] == right[count]) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a prompt shorter than a block has an empty chain")
{
    CHECK(hashChain({.organisation = "a"}, "abc", shortBlocks).empty());
    CHECK(hashChain({.organisation = "a"}, "", shortBlocks).empty());
    CHECK(hashChain({.organisation = "a"}, "abcd", shortBlocks).size() == 1);
    CHECK(hashChain({.organisation = "a"}, "abcd", {.blockTokens = 0}).empty());
}

TEST_CASE("a chain of thousands of blocks is bounded")
{
    const std::string prompt(blockBytes * 10000, 'x');
    CHECK(hashChain({}, prompt, shortBlocks).size() == shortBlocks.maxBlocks);
    CHECK(estimateTokens(prompt, shortBlocks) == 20000);
}

TEST_CASE("text and token ids give different chains")
{
    const std::vector<uint32_t> tokens{1, 2, 3, 4, 5};
    const std::string_view bytes(reinterpret_cast<const char *>(tokens.data()), 16);
    const std::vector<BlockHash> ids = hashTokenChain({}, tokens, shortBlocks);
    REQUIRE(ids.size() == 2);
    CHECK(commonBlocks(ids, hashChain({}, bytes, {.blockTokens = 2})) == 0);
}

TEST_CASE("prompts share as many hashes as leading blocks", "[fuzz]")
{
    REQUIRE(rc::check("shared hashes equal shared blocks", [] {
        const std::string left = *rc::gen::string<std::string>();
        const size_t cut = *rc::gen::inRange<size_t>(0, left.size() + 1);
        const std::string right = left.substr(0, cut) + *rc::gen::string<std::string>();
        size_t shared = 0;
        while ((shared + 1) * blockBytes <= std::min(left.size(), right.size())
               && left.compare(0, (shared + 1) * blockBytes, right, 0, (shared + 1) * blockBytes)
                          == 0) {
            ++shared;
        }
        RC_ASSERT(commonBlocks(hashChain({}, left, shortBlocks), hashChain({}, right, shortBlocks))
                  == shared);
    }));
}

TEST_CASE("another organisation, model, adapter or version shares no hash", "[fuzz]")
{
    REQUIRE(rc::check("salts separate chains", [] {
        const std::string prompt = "0123456789abcdef";
        const std::string organisation = *rc::gen::string<std::string>();
        const std::string model = *rc::gen::string<std::string>();
        const ChainSalt salt{.organisation = organisation, .model = model};
        const std::string joined = organisation + model;
        const std::vector<ChainSalt> others{
                {.organisation = model, .model = organisation, .adapter = "x"},
                {.organisation = joined, .adapter = "x"},
                {.organisation = organisation, .model = model, .adapter = "x"},
        };
        const ChainSalt &other = others[*rc::gen::inRange<size_t>(0, others.size())];
        RC_ASSERT(commonBlocks(hashChain(salt, prompt, shortBlocks),
                               hashChain(other, prompt, shortBlocks))
                  == 0);
        const BlockHash block = hashChain(salt, prompt, shortBlocks).front();
        RC_ASSERT(VersionSalt(organisation).apply(block)
                  != VersionSalt(organisation + "1").apply(block));
    }));
}

} // namespace teaseldrift::hashing
