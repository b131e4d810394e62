package org.orioleshed.standin;

/**
 * What is wrong with a stand-in engine. Absent numbers are zero and absent strings null: no fault.
 *
 * @param speedFactor the speed as a share of the normal one; zero means 1
 * @param loadLagMillis how late load reports are, in milliseconds; zero means the usual lag
 * @param failProbability the probability that a run fails when it is admitted
 * @param afterRuns failures start after this many runs
 * @param aboveRunning only runs admitted while more than this many run can fail
 * @param onlyContent only prompts that contain this word can fail; null for all
 * @param onlyVersion failures and slowness strike only this version; null for all
 * @param crashContent a prompt that contains this word crashes the engine; null for none
 * @param silentProbability the probability that a stream goes silent after its first token
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
        return speedFactor > 0 && strikes(version, runs, running) ? speedFactor : 1;
    }

    boolean fails(String version, String prompt, long runs, int running, double draw) {
        boolean content = onlyContent == null || prompt.contains(onlyContent);
        return content && strikes(version, runs, running) && draw < failProbability;
    }

    boolean crashes(String prompt) {
        return crashContent != null && prompt.contains(crashContent);
    }

    private boolean strikes(String version, long runs, int running) {
        boolean versionHit = onlyVersion == null || onlyVersion.equals(version);
        return versionHit && runs > afterRuns && running > aboveRunning;
    }
}
