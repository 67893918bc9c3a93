/** Configurations of a small deployment, with the figures of the example in the deploy folder. */
final class Settings {
    private Settings() {}

    /** A class: name, effect, aim and deadline in milliseconds, worth. */
    static String type(String name, String effect, int aim, int deadline, double worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"objectiveUs\":"
                + aim * 1000L + ",\"deadlineUs\":" + deadline * 1000L + ",\"worth\":" + worth
                + ",\"lateWorth\":0.1"
                + (effect.equals("idempotency_key")
                        ? ",\"dedupScope\":\"cell\",\"keyTtlUs\":3000000"
                        : "")
                + "}";
    }

    static String config(
            int listen, int discovery, String known, String types, String writes) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listen
                + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
                + "\"known\":" + known + ",\n"
                + "\"settings\":{\"balancers\":1,\"rank\":0,\"tickUs\":2000,\"zones\":[\"a\"],"
                + "\"kinds\":[\"m\"],\"discovery\":\"pushed\",\n"
                + "\"categories\":[" + types + "],\n"
                + "\"plans\":[{\"name\":\"standard\",\"baseRate\":60,\"floorRate\":60,\"parts\":2,"
                + "\"worthFactor\":1.0}],\n"
                + "\"limits\":{\"attemptsCap\":3,\"mayCancel\":true,\"probes\":true,"
                + "\"retryAfter\":true,\"maxRetryAfterUs\":500000,\"connectTimeoutUs\":250000,"
                + "\"connIdleUs\":30000000},\n"
                + "\"rules\":{\"stopSendingWithinUs\":500000,\"coldFrom\":0.29,"
                + "\"rampTimeUs\":17000000,\"overloadFactor\":2.0,\"fallUs\":1000000},\n"
                + "\"specifics\":{\"changesData\":[" + writes + "],\"unitMean\":2,\"unitsTop\":6,"
                + "\"fairWorth\":0.35,\"idleWorth\":0.05,\"shards\":2,\"youngLimit\":11}}}\n";
    }
}
