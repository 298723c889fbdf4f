#include "fuzz/configurationmodel.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

class ConfigurationFuzzTest : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(ConfigurationFuzzTest, promisesHoldUnderFaults)
{
    const auto result = fuzzConfiguration(GetParam(), 3000);
    EXPECT_TRUE(result.hasPassed) << result.failure;
    EXPECT_GT(result.faults, 0U);
    EXPECT_GT(result.changesAccepted, 0U);
    EXPECT_GT(result.changesRefused, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConfigurationFuzzTest, testing::Values(1, 2, 3, 4));
