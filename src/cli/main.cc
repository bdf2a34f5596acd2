/** @file main.cc Entry point of the command-line tool for operators. */

#include "cli/command.h"

int main(int argc, char** argv) {
  return buckthornpath::Command::Main({argv + 1, argv + argc});
}
