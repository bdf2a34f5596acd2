#!/usr/bin/env perl
# Finds two uses of co_await that g++ 12 miscompiles:
# - Braced temporaries inside a co_await expression are destroyed twice. Build
#   the object in a named variable and move it in instead.
# - co_await behind &&, || or ?. Store its result in a named variable first.
use strict;
use warnings;

my $found = 0;
for my $path (@ARGV) {
  open(my $file, '<', $path) or die "$path: $!";
  my $text = do { local $/; <$file> };
  close($file);
  while ($text =~ /(&&|\|\||\?)\s*!?\s*co_await\b/g) {
    my $line = 1 + (substr($text, 0, $-[0]) =~ tr/\n//);
    print "$path:$line: co_await within a condition\n";
    $found = 1;
  }
  while ($text =~ /co_await\b([^;]*?);/gs) {
    my $expression = $1;
    my $start = $-[0];
    next if $expression =~ /^[^{]*\)\s*\)?\s*\{/s;  # The condition of a block.
    next unless $expression =~ /\{/;
    next if $expression =~ /\[[^\]]*\]\s*(\([^)]*\))?[^{]*\{/s;  # A lambda.
    my $line = 1 + (substr($text, 0, $start) =~ tr/\n//);
    print "$path:$line: braced temporary inside co_await\n";
    $found = 1;
  }
}
exit $found;
