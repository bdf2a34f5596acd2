# Build, check and show buckthornpath; see README.md.

BUILD ?= build
PACKAGES = g++ cmake ninja-build ccache perl clang-format clang-tidy \
  libboost1.81-dev libboost-log1.81-dev libboost-thread1.81-dev \
  libdocopt-dev libcppunit-dev nlohmann-json3-dev libxxhash-dev \
  librapidcheck-dev libssl-dev

.PHONY: deps build check format lint pages demo measure slopes sweep soak mutants latency clean

# Installs what is missing; asks the package manager for nothing else.
deps:
	@missing=; for package in $(PACKAGES); do \
	  dpkg -s $$package >/dev/null 2>&1 || missing="$$missing $$package"; \
	done; \
	if [ -n "$$missing" ]; then \
	  apt-get update && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y $$missing; \
	fi

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	ninja -C $(BUILD)

check: build
	BUCKTHORNPATH_KNOWN_RED=$(CURDIR)/KNOWN-RED.txt \
	  ctest --test-dir $(BUILD) --output-on-failure -j 4
	@if [ -s KNOWN-RED.txt ]; then echo "Known red:"; cat KNOWN-RED.txt; fi

format:
	git ls-files -co --exclude-standard | grep -E '\.(cc|h)$$' | \
	  xargs clang-format --dry-run --Werror

lint:
	tools/check_platform_names.sh
	perl tools/check_co_await.pl \
	  $$(git ls-files -co --exclude-standard | grep -E '\.(cc|h)$$')
	run-clang-tidy -quiet -p $(BUILD) '(src|platform|test|bench)/.*\.cc$$' \
	  > $(BUILD)/lint.log 2>&1 || \
	  { grep -E '(warning|error):' $(BUILD)/lint.log | sort -u; exit 1; }

# Ways of deciding side by side, on the same arrivals; takes some minutes.
measure: build
	BUCKTHORNPATH_BIN=$(CURDIR)/$(BUILD) $(BUILD)/bench/measure \
	  --out=$(BUILD)/measure.json $(MEASURE)

# Measures what grows with the fleet; docs/CAPACITY.md reckons from it.
slopes: build
	$(BUILD)/test/slopes --out=docs/capacity/points.json

# Each check of the soak is shown able to fail.
mutants: build
	tools/mutants.sh $(BUILD)

# Generated fault schedules, judged by the checker.
sweep: build
	BUCKTHORNPATH_BIN=$(CURDIR)/$(BUILD) \
	  $(BUILD)/test/sweep $(or $(SEED),1) $(or $(RUNS),200) $(FAULT)

# Real gateways under random faults from outside; SEED, RUNS, SIZE (gateways),
# KIND (faults, evacuations, stops, joint-stops or publication).
soak: build
	BUCKTHORNPATH_BIN=$(CURDIR)/$(BUILD) \
	  $(BUILD)/test/soak $(or $(SEED),1) $(or $(RUNS),50) $(or $(SIZE),3) $(KIND)

# A fleet on loopback that serves returning chats and says what it did.
demo: build
	BUCKTHORNPATH_BIN=$(CURDIR)/$(BUILD) demo/run.sh

# Reference pages from the tables of fields; a test compares them.
pages: build
	$(BUILD)/buckthornpath help settings > docs/SETTINGS.md
	$(BUILD)/buckthornpath help profiles > docs/PROFILES.md
	$(BUILD)/buckthornpath help log > docs/LOG_EVENTS.md

# Latency added to a direct call, and time from silence to resumed stream.
latency: build
	BUCKTHORNPATH_BIN=$(CURDIR)/$(BUILD) $(BUILD)/test/latency

clean:
	rm -rf $(BUILD)
