package org.radishspan.demo;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** The whole path over real sockets. */
public class DemoTest {

    @Test
    public void everyCheckOfTheDemoPasses() {
        StringWriter text = new StringWriter();
        Demo demo = Demo.start(new PrintWriter(text, true));
        try {
            assertTrue(demo.check(), text.toString());
        } finally {
            demo.stop();
        }
    }
}
