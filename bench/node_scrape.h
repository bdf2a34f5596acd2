/** @file node_scrape.h Reads metrics and load from the operator servers of a
 * fleet. */

#ifndef BENCH_NODE_SCRAPE_H_
#define BENCH_NODE_SCRAPE_H_

#include <map>
#include <string>

#include "load_run.h"

namespace buckthornpath {

/** Control bytes sent and received, by address of the operator server. */
using ControlBytes = std::map<std::string, double>;

/** @return Control bytes of every daemon since it started. */
ControlBytes ScrapeControlBytes(const LocalFleet& fleet,
                                std::size_t routers,
                                const Deployment& deployment);

/** @return Maximum increase over the daemons, in bytes. */
double MaxIncrease(const ControlBytes& before, const ControlBytes& after);

/** @return Maximum and mean of the running calls of the model endpoints. */
LoadSample ScrapeLoad(const LocalFleet& fleet, const Deployment& deployment);

/** @return Sum of a metric over all its series, from Prometheus text. */
double SumMetric(const std::string& text, const std::string& name);

}  // namespace buckthornpath

#endif  // BENCH_NODE_SCRAPE_H_
