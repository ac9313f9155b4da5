#include "teaseldrift/http/buffer_budget.hpp"

#include <memory>
#include <vector>

#include <catch2/catch.hpp>

namespace teaseldrift::http {

TEST_CASE("the largest buffer is given up when the sum exceeds the budget")
{
    BufferBudget budget(100);
    std::vector<int> givenUp;
    BufferAccount first(&budget, [&] { givenUp.push_back(1); });
    BufferAccount second(&budget, [&] { givenUp.push_back(2); });
    BufferAccount third(&budget, [&] { givenUp.push_back(3); });
    first.set(30);
    second.set(50);
    third.set(20);
    CHECK(givenUp.empty());
    CHECK(budget.bufferedBytes() == 100);
    first.set(31);
    CHECK(givenUp == std::vector<int>{2});
    CHECK(budget.bufferedBytes() == 51);
    third.set(200);
    CHECK(givenUp == std::vector<int>{2, 3});
    CHECK(budget.bufferedBytes() == 31);
    CHECK(budget.givenUp() == 2);
}

TEST_CASE("a destroyed account holds nothing")
{
    BufferBudget budget(100);
    {
        BufferAccount first(&budget, [] {});
        BufferAccount second(&budget, [] {});
        first.set(40);
        second.set(50);
    }
    CHECK(budget.bufferedBytes() == 0);
}

TEST_CASE("an account may be destroyed, and others changed, when it is given up")
{
    BufferBudget budget(100);
    std::unique_ptr<BufferAccount> own;
    BufferAccount other(&budget, [] {});
    own = std::make_unique<BufferAccount>(&budget, [&] {
        own.reset();
        other.set(0);
    });
    other.set(10);
    own->set(101);
    CHECK(own == nullptr);
    CHECK(budget.bufferedBytes() == 0);
}

} // namespace teaseldrift::http
