/** @file node_scrape.h Reads the operators' ports of a fleet. */

#ifndef BENCH_NODE_SCRAPE_H_
#define BENCH_NODE_SCRAPE_H_

#include <map>
#include <string>

#include "load_run.h"

namespace buckthornpath {

/** Control bytes sent and received, by operators' address. */
using ControlBytes = std::map<std::string, double>;

/** @return Control bytes of every daemon since it started. */
ControlBytes ScrapeControlBytes(const LocalFleet& fleet,
                                std::size_t routers,
                                const Deployment& deployment);

/** @return The greatest increase of one daemon. */
double MaxIncrease(const ControlBytes& before, const ControlBytes& after);

/** @return Running calls of the model endpoints, the greatest and the mean. */
LoadSample ScrapeLoad(const LocalFleet& fleet, const Deployment& deployment);

/** @return The sum of a metric's values in the text format. */
double SumMetric(const std::string& text, const std::string& name);

}  // namespace buckthornpath

#endif  // BENCH_NODE_SCRAPE_H_
