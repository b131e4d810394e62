package org.orioleshed.entry;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.Counter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.orioleshed.host.Decision;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.Tier;
import org.testng.annotations.Test;

/** Tests of {@link DecisionLog}. */
public class DecisionLogTest {
    private static final class RecordingHandler extends Handler {
        final List<LogRecord> records = new ArrayList<>();

        @Override
        public void publish(LogRecord line) {
            records.add(line);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    @Test
    public void queuedLineIsWrittenAfterTheLogIsClosed() {
        DecisionLog log = new DecisionLog(8, new Counter());
        RunId run = new RunId(new RequestId(new HostId("entry-1"), 1, 1), 1);
        log.add(new Decision("give-up", run, Tier.URGENT, Optional.empty(), "", "drain-over"));
        log.close();
        RecordingHandler lines = new RecordingHandler();
        Logger logger = Logger.getLogger(DecisionLog.class.getName());
        logger.addHandler(lines);
        try {
            log.run();
        } finally {
            logger.removeHandler(lines);
        }
        assertEquals(lines.records.size(), 1);
    }
}
