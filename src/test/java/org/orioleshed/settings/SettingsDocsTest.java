package org.orioleshed.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Tests of {@link SettingsDocs}. */
public class SettingsDocsTest {
    @Test
    public void committedPageMatchesSchema() throws IOException {
        assertEquals(Files.readString(Path.of("docs/SETTINGS.md")), SettingsDocs.page());
    }

    @Test
    public void helpFindsSettingByPartOfPath() {
        assertTrue(SettingsDocs.help("drainMillis").contains("/drainMillis"));
    }
}
