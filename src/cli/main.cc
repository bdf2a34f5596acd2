/** @file main.cc The operators' command-line tool. */

#include "cli/command.h"

int main(int argc, char** argv) {
  return buckthornpath::Command::Main({argv + 1, argv + argc});
}
