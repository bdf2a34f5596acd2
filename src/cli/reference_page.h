/** @file reference_page.h Writes reference pages from the tables of fields. */

#ifndef SRC_CLI_REFERENCE_PAGE_H_
#define SRC_CLI_REFERENCE_PAGE_H_

#include <ostream>
#include <string>
#include <vector>

#include "kernel/field_table.h"

namespace buckthornpath {

/** Writes a heading and a table of the fields in Markdown. */
void WriteFieldTable(std::ostream& out,
                     const std::string& title,
                     const std::vector<FieldRule>& rules);

}  // namespace buckthornpath

#endif  // SRC_CLI_REFERENCE_PAGE_H_
