#!/bin/sh
# Starts one scheduler from the repository's root, in the sizes that limits.memory_mb of its configuration allows
# (192 where it names none): a sixth of what is beside 48 for the heap, a sixteenth for direct buffers at the most, as the
# limit holds for both processes of an upgrade together. The README has the arithmetic.
# The heap is touched whole at the start, so that memory in use is level from then on. One malloc arena keeps the
# request threads from holding one each. One compiler thread, as the JVM would start several on a machine of many
# cores, each with memory of its own. No JMX, which nobody asks and the I/O library would start: there is no builder
# of the name that is given for it. A full heap ends the process (exit 3), whichever thread finds it full. Shell
# builtins only, and no subshells: the platform's fleet refuses fork.
config=${ROUTER_CONFIG:-deploy/config.example.json}
memory=
if [ ! -r "$config" ]; then
  echo "run.sh: $config cannot be read; ROUTER_CONFIG names the configuration" >&2
  exit 2
fi
while IFS= read -r line || [ -n "$line" ]; do
  case $line in
    *'"memory_mb"'*)
      line=${line#*'"memory_mb"'}
      line=${line#"${line%%[0-9]*}"}
      memory=${line%%[!0-9]*}
      break ;;
  esac
done < "$config"
[ -n "$memory" ] || echo "run.sh: $config names no limits.memory_mb, taking 192" >&2
memory=${memory:-192}
[ "$memory" -lt 256 ] || memory=256
heap=$(((memory - 48) / 6))
[ "$heap" -gt 8 ] || heap=8
export MALLOC_ARENA_MAX=1
exec java -Djavax.management.builder.initial=none \
  -XX:SharedArchiveFile=target/cypressglade.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
  -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 -XX:-UsePerfData -XX:+AlwaysPreTouch \
  -Xms${heap}m -Xmx${heap}m -Xss256k -XX:+ExitOnOutOfMemoryError -XX:MaxDirectMemorySize=$((memory / 16))m \
  -XX:ReservedCodeCacheSize=12m -XX:MaxMetaspaceSize=28m -jar target/cypressglade.jar serve "$@"
