CONFIG ?= deploy/config.example.json

.PHONY: build test lint run clean

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# The compiler's warnings are errors; line lengths and the module's size are checked with them.
lint:
	mvn -B -q clean test-compile surefire:test -Dtest=SourceLimitsTest

run: build
	java -XX:SharedArchiveFile=target/cypressglade.jsa -Xlog:cds=off -Xlog:cds+dynamic=off -XX:+UseSerialGC \
	  -XX:TieredStopAtLevel=1 -Xmx48m -Xss256k -jar target/cypressglade.jar serve --config $(CONFIG)

clean:
	mvn -q clean
