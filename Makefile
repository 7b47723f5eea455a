# Entry points. Every target installs what it needs and can be run on a fresh machine.
BUILD ?= build
JOBS ?= $(shell nproc)
SEEDS ?= 200

.PHONY: all packages configure build generate check test demo bench model fuzz format tidy clean

all: build

packages:
	@bash tools/packages.sh

configure: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: configure
	@cmake --build $(BUILD) -j $(JOBS)

generate: packages
	protoc --proto_path=proto --cpp_out=gen proto/coppervalve/*.proto

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

check: build
	@bash tools/check.sh $(BUILD)

demo: build
	@bash tools/demo.sh $(BUILD)

bench: build
	@bash tools/bench.sh $(BUILD)

model: packages
	@bash model/check.sh

fuzz: build
	@$(BUILD)/fuzz-router --seeds $(SEEDS)

format: packages
	@bash tools/style.sh fix

tidy: configure
	@bash tools/style.sh tidy $(BUILD)

clean:
	rm -rf $(BUILD)
