# Targets that run the programs first install the packages and build.
SHELL := /bin/bash
PRESET ?= release
SITE ?= alliance
HOSTS ?= 3
SEED ?= 1
DURATION ?= 60
SEEDS ?= 2000
JOBS ?= $(shell nproc)
BUILD := build/$(PRESET)
export CCACHE_DIR ?= $(HOME)/.ccache
export CCACHE_BASEDIR ?= $(CURDIR)
export CCACHE_NOHASHDIR ?= 1

FIRST ?= 1
SOAK_JOBS ?= 3

.PHONY: packages configure build test test-asan demo bench soak edge-soak torture capacity format format-check lint generate clean

packages:
	@scripts/install_packages.sh

configure: packages
	@cmake --preset $(PRESET) >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }

build: configure
	@cmake --build $(BUILD) -j $(JOBS)
	@mkdir -p build && ln -sfn $(PRESET)/bin build/bin

test: build
	@scripts/run_tests.sh $(BUILD)/bin

test-asan:
	@$(MAKE) --no-print-directory test PRESET=asan

demo: build
	@if [ "$(SITE)" = platform ]; then \
	  $(BUILD)/bin/edge_soak --program $(BUILD)/bin/galena_edged --hosts $(HOSTS) --no-faults --duration 20; \
	else scripts/demo.sh $(SITE) $(HOSTS); fi

bench: build
	@scripts/run_benches.sh $(BUILD)/bin | tee build/bench.txt; \
	 status=$${PIPESTATUS[0]}; scripts/plot.sh $(BUILD)/bin build/bench.txt docs/plots; exit $$status

soak: build
	@scripts/soak.sh $(SEED) $(DURATION)

# Runs galena_edged processes under faults: SEEDS runs of DURATION seconds each, from
# seed FIRST.
edge-soak: build
	@scripts/edge_soak.sh $(BUILD)/bin $(FIRST) $(SEEDS) $(DURATION) $(SOAK_JOBS)

torture: build
	@scripts/torture.sh $(BUILD)/bin $(SEEDS)

capacity: build
	@scripts/capacity.sh $(BUILD)/bin

format:
	@git ls-files '*.cpp' '*.hpp' | grep -v '^generated/' | xargs clang-format -i

format-check:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' | grep -v '^generated/' | xargs clang-format --dry-run -Werror

lint: build
	@scripts/lint.sh $(BUILD) $(JOBS)

generate:
	@scripts/generate.sh

clean:
	@rm -rf build
