# Build: make [SAN=address|thread|fuzz] [BUILD=dir]
# Main targets: all, check, demo, fuzz, bench, format, lint, clean.

SAN ?=
BUILD ?= build$(if $(SAN),-$(SAN))
CC ?= gcc
PKGS = liburcu-bp popt log4c glib-2.0 libtirpc libcurl jansson libxxhash \
	libsodium openssl libevent libevent_openssl libzstd
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -lcivetweb -lhttp_parser \
	-lpthread -lm

WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wvla -Wformat=2
CPPFLAGS += -I. -D_GNU_SOURCE
CFLAGS ?= -O2 -g
CFLAGS += -std=gnu11 -pthread $(WARN)
# A program loads only the libraries that it calls. The sanitizers stand before
# some of them and need them all.
ifeq ($(SAN),)
LDFLAGS += -Wl,--as-needed
endif
ifeq ($(SAN),address)
SANFLAGS = -fsanitize=address,undefined -fno-sanitize-recover=undefined \
	-fno-omit-frame-pointer
endif
ifeq ($(SAN),thread)
SANFLAGS = -fsanitize=thread
endif
ifeq ($(SAN),fuzz)
CC = clang
# clang warns about the end marks of tables, which gcc accepts.
WARN += -Wno-missing-field-initializers
SANFLAGS = -fsanitize=fuzzer-no-link,address,undefined \
	-fno-sanitize-recover=undefined -fno-omit-frame-pointer
endif

GEN_SRC := process/peer_proto_xdr.c
LIB_SRC := $(sort $(filter-out $(GEN_SRC),$(wildcard process/*.c \
	connection/*.c version/*.c request/*.c platform/*.c)))
CMD_SRC := $(sort $(wildcard cmd/*.c))
PROG_SRC := $(filter cmd/amaranthvale%,$(CMD_SRC))
CMD_LIB_SRC := $(filter-out $(PROG_SRC),$(CMD_SRC))
STANDIN_SRC := $(sort $(wildcard t/standin-*.c t/fault-proxy.c))
SHIFT_SRC := t/clock-shift.c
DETOUR_SRC := t/detour.c
TESTLIB_SRC := $(sort $(wildcard t/lib/*.c))
TEST_SRC := $(sort $(wildcard t/test-*.c))
BENCH_SRC := $(sort $(wildcard t/bench-*.c))
FUZZ_SRC := $(sort $(wildcard t/fuzz-*.c))

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))
exe = $(patsubst %.c,$(BUILD)/%,$(1))

LIB = $(BUILD)/libamaranthvale.a
CMDLIB = $(BUILD)/cmd/libcmd.a
TESTLIB = $(BUILD)/t/libtest.a
PROGS = $(patsubst cmd/%.c,$(BUILD)/%,$(PROG_SRC))
TESTS = $(call exe,$(TEST_SRC))
STANDINS = $(call exe,$(STANDIN_SRC))
BENCHES = $(call exe,$(BENCH_SRC))
SHIFTED = $(patsubst cmd/amaranthvale-%.c,$(BUILD)/t/shifted-%,\
	cmd/amaranthvale-gateway.c cmd/amaranthvale-router.c)
DETOURED = $(BUILD)/t/detoured-gateway
# Commit of the last release, whose instances run beside those of this build
# while machines are upgraded in turn. Each landing moves it.
RELEASE = 4e5af8ec97211a82752e918c2c7303b8394436c3
RELEASE_DIR = $(BUILD)/release
RELEASED = $(BUILD)/t/release-gateway $(BUILD)/t/release-detoured-gateway
HAND_SRC = $(LIB_SRC) $(CMD_SRC) $(STANDIN_SRC) $(TESTLIB_SRC) $(TEST_SRC) \
	$(BENCH_SRC) $(FUZZ_SRC) $(SHIFT_SRC) $(DETOUR_SRC)
HEADERS := $(filter-out process/peer_proto.h,$(wildcard process/*.h \
	connection/*.h version/*.h request/*.h platform/*.h cmd/*.h t/*.h t/lib/*.h))

.PHONY: all progs gateway check demo fuzz fuzz-run bench format check-format lint \
	docs check-docs check-clocks proto clean
.SECONDARY:

all: progs $(TESTS) $(BENCHES) $(SHIFTED) $(DETOURED)

progs: $(LIB) $(PROGS) $(STANDINS)

# What deploy/system.toml builds; no other program and no test.
gateway: $(BUILD)/amaranthvale-gateway

$(LIB): $(call obj,$(LIB_SRC) $(GEN_SRC))
	rm -f $@
	$(AR) rcs $@ $^

$(TESTLIB): $(call obj,$(TESTLIB_SRC))
	rm -f $@
	$(AR) rcs $@ $^

# Generated XDR code is exempt from warnings.
$(call obj,$(GEN_SRC)): WARN = -w

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(SANFLAGS) $(PKG_CFLAGS) -MMD -MP -c -o $@ $<

# An archive, so that each program takes only the parts it uses.
$(CMDLIB): $(call obj,$(CMD_LIB_SRC))
	rm -f $@
	$(AR) rcs $@ $^

$(PROGS): $(BUILD)/%: $(BUILD)/cmd/%.o $(CMDLIB) $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) $(SANFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/t/%: $(BUILD)/t/%.o $(TESTLIB) $(CMDLIB) $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) $(SANFLAGS) -o $@ $^ $(PKG_LIBS)

# Programs whose time of day tests set ahead and back.
$(SHIFTED): $(BUILD)/t/shifted-%: $(BUILD)/cmd/amaranthvale-%.o \
		$(call obj,$(SHIFT_SRC)) $(CMDLIB) $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) $(SANFLAGS) -Wl,--wrap=clock_gettime \
		-Wl,--wrap=time -o $@ $^ $(PKG_LIBS)

# A program whose connections tests lead elsewhere.
$(DETOURED): $(BUILD)/cmd/amaranthvale-gateway.o $(call obj,$(DETOUR_SRC)) \
		$(CMDLIB) $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) $(SANFLAGS) \
		-Wl,--wrap=bufferevent_socket_connect -o $@ $^ $(PKG_LIBS)

# Gateways of the last release, without sanitizers. Warnings of a newer compiler
# do not matter there. This file names the commit. In a clone without history
# they are empty, and the test is skipped and says so.
$(RELEASED) &: Makefile
	rm -rf $(RELEASE_DIR) $(RELEASED)
	mkdir -p $(RELEASE_DIR) $(BUILD)/t
	if git cat-file -e '$(RELEASE)^{commit}'; then \
		git archive -o $(RELEASE_DIR)/source.tar $(RELEASE) && \
		tar -xf $(RELEASE_DIR)/source.tar -C $(RELEASE_DIR) && \
		$(MAKE) -s -C $(RELEASE_DIR) BUILD=build SAN= WARN=-w \
			gateway build/t/detoured-gateway && \
		cp $(RELEASE_DIR)/build/amaranthvale-gateway \
			$(BUILD)/t/release-gateway && \
		cp $(RELEASE_DIR)/build/t/detoured-gateway \
			$(BUILD)/t/release-detoured-gateway; \
	else \
		echo 'Makefile: RELEASE $(RELEASE) is not in this' \
			'repository: t/test-it-upgrade needs a clone with' \
			'history (git fetch --unshallow)' >&2; \
		touch $(RELEASED); \
	fi

$(BUILD)/t/test-it-upgrade: | $(RELEASED) $(DETOURED) \
	$(BUILD)/amaranthvale-gateway

$(BUILD)/t/fuzz-%: $(BUILD)/t/fuzz-%.o $(LIB)
	$(CC) $(CFLAGS) $(LDFLAGS) $(SANFLAGS) -fsanitize=fuzzer -o $@ $^ \
		$(PKG_LIBS)

# The packages come first, and make starts again after them: the flags above
# are read by pkg-config, which is one of the packages.
check:
	.ci/install-packages
	$(MAKE) all
	BUILD=$(BUILD) t/run-tests.sh $(TESTS)

# FUZZ_RUNS sets the number of inputs for each target.
fuzz:
	$(MAKE) SAN=fuzz fuzz-run

fuzz-run: $(call exe,$(FUZZ_SRC))
	BUILD=$(BUILD) t/run-fuzz.sh $^

bench: $(BUILD)/t/bench-capacity $(BUILD)/t/bench-gossip
	mkdir -p docs/capacity
	$(BUILD)/t/bench-capacity --json=docs/capacity/results.json \
		>docs/capacity/results.txt
	$(BUILD)/t/bench-gossip >>docs/capacity/results.txt
	cat docs/capacity/results.txt

demo:
	.ci/install-packages
	$(MAKE) progs
	BUILD=$(BUILD) t/demo.sh

format:
	clang-format -i $(HAND_SRC) $(HEADERS)

check-format:
	clang-format --dry-run -Werror $(HAND_SRC) $(HEADERS)

# One clang-tidy process a file, so that the pass uses all cores.
lint:
	printf '%s\n' $(HAND_SRC) | xargs -P $$(nproc) -I{} \
		clang-tidy --quiet {} -- $(CPPFLAGS) -std=gnu11 $(PKG_CFLAGS) \
		2>/dev/null

docs: progs
	BUILD=$(BUILD) t/docs.sh

check-docs: progs
	BUILD=$(BUILD) t/docs.sh --check

check-clocks:
	t/check-clocks.sh

# The generated files are committed; only this target needs rpcgen.
proto:
	cd process && rm -f peer_proto.h peer_proto_xdr.c && \
		rpcgen -N -h -o peer_proto.h peer_proto.x && \
		rpcgen -N -c -o peer_proto_xdr.c peer_proto.x

clean:
	rm -rf build build-*

# The headers of the last release are others.
-include $(shell find $(BUILD) -path $(RELEASE_DIR) -prune -o -name '*.d' \
	-print 2>/dev/null)
