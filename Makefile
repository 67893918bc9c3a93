CONFIG ?= deploy/config.example.json

.PHONY: build test lint format run clean measure-learning measure-console measure-fleet-view measure-fleet-limits \
	measure-storms

define measure
mvn -q -B test-compile
mvn -q -B exec:exec -Dexec.executable=java -Dexec.classpathScope=test -Dexec.args="-cp %classpath $(1)"
endef

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# The compiler's warnings are errors; layout, naming, line lengths and sizes of files are checked with them.
lint:
	mvn -B -q clean test-compile spotless:check checkstyle:check@lint-check surefire:test -Dtest=SourceLimitsTest

# Lays all Java out by google-java-format (AOSP style).
format:
	mvn -B -q spotless:apply

run: build
	ROUTER_CONFIG=$(CONFIG) sh deploy/run.sh

# Measurements: each prints name=value lines, takes under a minute, and fails where a bound is missed.
measure-learning:
	$(call measure,cypressglade.peer.LearningMeasure)

measure-console:
	$(call measure,cypressglade.control.ConsoleMeasure)

measure-fleet-view:
	$(call measure,cypressglade.fleet.FleetViewMeasure)

measure-fleet-limits:
	$(call measure,cypressglade.share.FleetLimitsMeasure)

measure-storms:
	$(call measure,cypressglade.storm.StormMeasure)

clean:
	mvn -q clean
