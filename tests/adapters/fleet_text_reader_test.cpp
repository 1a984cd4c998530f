#include "adapters/fleet_text_reader.hpp"

#include "adapters/settings_reader.hpp"
#include "core/random_source.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

using namespace siskinusher;

namespace
{

std::string const good = R"(data_centres: [{name: b, region: south}, {name: a, region: north}]
engine_pools: [{name: small, engine_memory: 16GiB}, {name: large, engine_memory: 80GiB}]
weight_store: {loads_per_second: 4.5, full_speed_loads: 4}
ranks: {urgent: {floor: 0.6}, background: {ceiling: 0.5}}
models:
  - {name: m1, checkpoint: c1, size: 14GiB, max_replicas: 3, load_time_ms: 900, pools: [small]}
  - {name: m2, checkpoint: c2, size: 60GiB, max_replicas: 1, load_time_ms: 900, depends_on: [m1, shop]}
adapters:
  - {name: x, base_model: m1, size: 50MiB}
services:
  - {name: shop, pool: tills, depends_on: [m1], repeatable_paths: [/stock]}
draining: [engine-2]
)";

std::string replaced(std::string const& from, std::string const& to)
{
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
}

bool reports(std::string const& text, std::string const& expected)
{
    auto const result = read_fleet_text(text, "f.yaml", 1);
    if (result)
    {
        return false;
    }
    bool found = false;
    for (auto const& error : result.assume_error())
    {
        found = found || to_string(error) == expected;
    }
    if (!found)
    {
        for (auto const& error : result.assume_error())
        {
            cr_log_error("reported: %s", to_string(error).c_str());
        }
    }
    return found;
}

} // namespace

Test(fleet_text_reader, reads_every_item)
{
    auto const result = read_fleet_text(good, "f.yaml", 7);
    cr_assert(result.has_value());
    fleet_config const& config = result.assume_value().config;
    cr_assert_eq(config.generation, 7);
    std::vector<std::string> const centres{"a", "b"};
    cr_assert(config.data_centres == centres && config.region_of.at("b") == "south");
    model_config const& m1 = config.models.at("m1");
    cr_assert(m1.bytes == 14ULL << 30U && m1.max_replicas == 3 && m1.min_replicas == 0);
    cr_assert(m1.engine_pools == std::vector<std::string>{"small"});
    cr_assert(config.adapters.at("x").bytes == 50ULL << 20U);
    cr_assert(config.services.at("shop").repeatable_paths == std::vector<std::string>{"/stock"});
    cr_assert(config.ranks[0].floor == 0.6 && config.ranks[1].floor == 0.2 && config.ranks[2].ceiling == 0.5);
    cr_assert(config.draining.count("engine-2") == 1 && config.weight_store.loads_per_second == 4.5);
}

// Guards against accepting a text that no fleet can satisfy, and against error messages without the line.
Test(fleet_text_reader, refuses_contradictions_with_their_line)
{
    cr_assert(reports(replaced("max_replicas: 3", "max_replicas: 3, min_replicas: 4"),
                      "f.yaml:6: 'min_replicas' of model 'm1' is 4; accepted: 0 to 'max_replicas', 3"));
    cr_assert(reports(replaced("size: 14GiB", "size: 17GiB"),
                      "f.yaml:6: model 'm1' of 18253611008 bytes fits no engine of its pools; the largest "
                      "has 17179869184 bytes"));
    cr_assert(reports(replaced("size: 50MiB", "size: 3GiB"),
                      "f.yaml:9: adapter 'x' of 3221225472 bytes fits no engine beside its base model"));
    cr_assert(reports(replaced("floor: 0.6", "floor: 0.8"),
                      "f.yaml:4: the floors of 'ranks' sum to 1.05; accepted: at most 1"));
    cr_assert(reports(replaced("ceiling: 0.5", "ceiling: 0.04"),
                      "f.yaml:4: the floor of 'ranks.background' is above its ceiling"));
    cr_assert(reports(replaced("depends_on: [m1]", "depends_on: [m2]"),
                      "f.yaml:7: circular dependency: m2 -> shop -> m2"));
    cr_assert(reports(replaced("depends_on: [m1]", "depends_on: [shop]"),
                      "f.yaml:11: circular dependency: shop -> shop"));
    cr_assert(reports(replaced("depends_on: [m1]", "depends_on: [m3]"),
                      "f.yaml:11: 'shop' depends on 'm3', which is no model and no service of this text"));
    cr_assert(reports(replaced("base_model: m1", "base_model: m9"),
                      "f.yaml:9: adapter 'x' names the unknown base model 'm9'"));
    cr_assert(reports(replaced("pools: [small]", "pools: [tiny]"),
                      "f.yaml:6: model 'm1' names the unknown engine pool 'tiny'"));
    cr_assert(reports(replaced("pool: tills", "pool: large"),
                      "f.yaml:11: service 'shop' names the engine pool 'large'; accepted: a pool of "
                      "plain-service backends"));
    cr_assert(reports(replaced("name: m2", "name: m1"), "f.yaml:7: duplicate model 'm1'; first on line 6"));
    cr_assert(reports(replaced("name: shop", "name: m2"),
                      "f.yaml:11: service 'm2' has the name of the model on line 7"));
    cr_assert(reports(replaced("size: 14GiB", "size: 14GB"),
                      "f.yaml:6: wrong value '14GB' for 'models[0].size'; accepted: an integer with unit B, "
                      "KiB, MiB, GiB or TiB, from 1B to 64TiB"));
    cr_assert(reports(replaced("max_replicas: 3", "max_replica: 3"),
                      "f.yaml:6: missing setting 'models[0].max_replicas'; accepted: an integer from 1 to "
                      "10000"));
    cr_assert(reports(replaced("[/stock]", "[stock]"),
                      "f.yaml:11: wrong element 'stock' in 'services[0].repeatable_paths'; accepted: a path "
                      "that starts with '/', of at most 256 printable characters without spaces, '?' and "
                      "'#'"));
    cr_assert(reports("models: []\n",
                      "f.yaml:1: missing setting 'data_centres'; accepted: a list of at least "
                      "one data centre with name and region"));
}

// Guards against examples that the current checks refuse or that shrink below the deployments' size.
Test(fleet_text_reader, accepts_the_examples)
{
    std::string const directory = SISKIN_SOURCE_DIRECTORY;
    struct expected
    {
        char const* file;
        std::size_t models;
        std::size_t adapters;
    };
    for (auto const& [file, models, adapters] :
         {expected{"authority.yaml", 65, 75}, expected{"kidskin.yaml", 50, 60}})
    {
        auto const text = read_text_file(directory + "/examples/" + file);
        cr_assert(text.has_value());
        auto const result = read_fleet_text(text.assume_value(), file, 1);
        cr_assert(result.has_value());
        cr_assert_eq(result.assume_value().config.models.size(), models);
        cr_assert_eq(result.assume_value().config.adapters.size(), adapters);
    }
    auto const settings = read_text_file(directory + "/examples/settings-entry.yaml");
    cr_assert(read_entry_settings(settings.assume_value(), "settings-entry.yaml").has_value());
}

// Guards against an operator who applies a text without being shown all of its changes.
Test(fleet_text_reader, shows_differences_by_item)
{
    std::string text = replaced("size: 14GiB", "size: 12GiB");
    text.replace(text.find("engine-2"), 8, "engine-3");
    text += "# A comment changes nothing.\n";
    auto const lines = difference(read_fleet_text(good, "f", 1).assume_value(),
                                  read_fleet_text(text, "f", 2).assume_value());
    std::vector<std::string> const expected{"~ model m1 size: 14GiB -> 12GiB", "- draining engine-2",
                                            "+ draining engine-3"};
    cr_assert(lines == expected);
}

// Guards against checks whose time grows faster than the text. The target size is 150 models and 10,000
// adapters.
Test(fleet_text_reader, checks_the_target_size_in_time)
{
    std::string text =
        "data_centres: [{name: a, region: r}]\nengine_pools: [{name: p, engine_memory: 80GiB}]\n"
        "weight_store: {loads_per_second: 4, full_speed_loads: 4}\nmodels:\n";
    for (int i = 0; i < 150; ++i)
    {
        text += "  - {name: model-" + std::to_string(i) + ", checkpoint: c, size: 7GiB, max_replicas: 20, " +
                "load_time_ms: 900" +
                (i > 0 ? ", depends_on: [model-" + std::to_string(i - 1) + "]}\n" : "}\n");
    }
    text += "adapters:\n";
    for (int i = 0; i < 10000; ++i)
    {
        text += "  - {name: adapter-" + std::to_string(i) + ", base_model: model-" + std::to_string(i % 150) +
                ", size: 48MiB}\n";
    }
    cr_assert_lt(text.size(), 1000000);
    auto const start = std::chrono::steady_clock::now();
    auto const result = read_fleet_text(text, "f.yaml", 1);
    auto const took = std::chrono::steady_clock::now() - start;
    cr_assert(result.has_value());
    cr_assert_eq(result.assume_value().config.adapters.size(), 10000);
    cr_log_info("%zu bytes checked in %lld ms", text.size(),
                static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(took).count()));
    // The limit is far above the measured time, so that on a busy machine only a higher order of growth
    // fails.
    cr_assert(took < std::chrono::seconds(5));
}

// Guards against an exception or a crash on malformed input: 3,000 seeded mutations of a valid text.
Test(fleet_text_reader, survives_mutated_texts)
{
    random_source random(20261205);
    static constexpr char alphabet[] = "[]{}:,&*!|>-?#'\"% \n\t\\ax0\x01\xff";
    for (int run = 0; run < 3000; ++run)
    {
        std::string text = good;
        for (std::uint64_t edits = 1 + random.below(4); edits > 0; --edits)
        {
            auto const at = random.below(text.size());
            if (random.below(2) == 0)
            {
                text[at] = alphabet[random.below(sizeof(alphabet) - 1)];
            }
            else
            {
                text.insert(at, text.substr(random.below(text.size()), random.below(40)));
            }
        }
        auto const result = read_fleet_text(text, "f.yaml", 1);
        cr_assert(result.has_value() || !result.assume_error().empty());
    }
}
