package org.orioleshed.standin;

/**
 * The faults of a stand-in engine. Absent numbers are zero and absent strings null, which means no
 * fault.
 *
 * @param speedFactor the speed as a factor of the normal speed; zero means 1
 * @param loadLagMillis the delay of load reports, in milliseconds; zero means the default
 * @param failProbability the probability that a run fails when it is admitted
 * @param afterRuns failures start after this many runs
 * @param aboveRunning failures and slowdown apply only while more than this many runs are on the
 *     engine
 * @param onlyContent only prompts that contain this text can fail; null for all
 * @param onlyVersion failures and slowdown apply only to this version; null for all
 * @param crashContent a prompt that contains this text crashes the engine; null for none
 * @param silentProbability the probability that a stream stalls after its first token
 */
record EngineFaults(
        double speedFactor,
        long loadLagMillis,
        double failProbability,
        int afterRuns,
        int aboveRunning,
        String onlyContent,
        String onlyVersion,
        String crashContent,
        double silentProbability) {
    static final EngineFaults NONE = new EngineFaults(1, 0, 0, 0, 0, null, null, null, 0);

    double speed(String version, long runs, int running) {
        return speedFactor > 0 && applies(version, runs, running) ? speedFactor : 1;
    }

    boolean fails(String version, String prompt, long runs, int running, double draw) {
        boolean contentMatches = onlyContent == null || prompt.contains(onlyContent);
        return contentMatches && applies(version, runs, running) && draw < failProbability;
    }

    boolean crashes(String prompt) {
        return crashContent != null && prompt.contains(crashContent);
    }

    private boolean applies(String version, long runs, int running) {
        boolean versionMatches = onlyVersion == null || onlyVersion.equals(version);
        return versionMatches && runs > afterRuns && running > aboveRunning;
    }
}
