DEPLOYMENT ?= authority
BUILD ?= build

.PHONY: deps build format reference lint test demo up bench measure soak clean

deps:
	tools/install_deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja > $(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	@rm -f $(BUILD).cmake.log
	cmake --build $(BUILD)

format:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

reference:
	tools/make_reference.sh

lint: build
	tools/lint.sh $(BUILD)

test: lint
	@test ! -e KNOWN-RED.txt || sed 's/^/known red: /' KNOWN-RED.txt
	ctest --test-dir $(BUILD) --output-on-failure

demo: build
	$(BUILD)/tests/standin-deployment --deployment=$(DEPLOYMENT) --mode=demo

up: build
	$(BUILD)/tests/standin-deployment --deployment=$(DEPLOYMENT) --mode=up

bench: build
	$(BUILD)/siskin-decision-bench
	$(BUILD)/tests/standin-bench

MINUTES ?= 5
soak: build
	$(BUILD)/tests/test_soak --seed=$$(date +%s) --minutes=$(MINUTES)

measure: build
	$(BUILD)/tests/test_measure --output=$(BUILD)/measure

clean:
	rm -rf $(BUILD)
