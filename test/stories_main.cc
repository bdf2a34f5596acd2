/** @file stories_main.cc Runs the story that the command line names. */

#include <iostream>

#include "harness/story.h"

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: stories NAME\n";
    return 2;
  }
  return buckthornpath::RunStory(argv[1]);
}
