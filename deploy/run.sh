#!/bin/sh
# Starts one scheduler from the repository's root, in the sizes that limits.memory_mb of its configuration allows
# (192 where it names none): a quarter for the heap, a sixteenth for direct buffers. The README has the arithmetic.
# The heap is touched whole at the start, so that memory in use is level from then on. One malloc arena keeps the
# request threads from holding one each.
memory=$(sed -n 's/.*"memory_mb"[^0-9]*\([0-9]\{2,6\}\).*/\1/p' "${ROUTER_CONFIG:-deploy/config.example.json}" | head -n 1)
memory=${memory:-192}
[ "$memory" -lt 256 ] || memory=256
export MALLOC_ARENA_MAX=1
exec java -XX:SharedArchiveFile=target/cypressglade.jsa -Xlog:cds=off -Xlog:cds+dynamic=off -XX:+UseSerialGC \
  -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+AlwaysPreTouch -Xms$((memory / 4))m -Xmx$((memory / 4))m -Xss256k \
  -XX:MaxDirectMemorySize=$((memory / 16))m -XX:ReservedCodeCacheSize=12m -XX:MaxMetaspaceSize=28m \
  -jar target/cypressglade.jar serve "$@"
