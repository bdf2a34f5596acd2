/** @file main.cc Example: places chats on servers with the library alone. */

#include <buckthornpath/rendezvous.h>

#include <iostream>

/** Prints the servers for each chat, in order of preference. */
int main() {
  const std::vector<buckthornpath::RendezvousSite> sites = {
      {"draft-1", 1.0}, {"draft-2", 1.0}, {"draft-3", 2.0}};
  for (const char* chat : {"pew-7", "hall-2", "van-12"}) {
    const auto order = buckthornpath::RendezvousOrder(chat, sites);
    std::cout << chat << ":";
    for (const std::size_t site : order)
      std::cout << " " << sites[site].name;
    std::cout << "\n";
  }
  return 0;
}
