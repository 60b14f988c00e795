package org.radishspan.demo;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Runs the demo: calls pass through routers, engines, service and platform over real sockets. */
public class DemoTest {

    @Test
    public void everyCheckOfTheDemoPasses() {
        StringWriter output = new StringWriter();
        Demo demo = Demo.start(new PrintWriter(output, true));
        try {
            assertTrue(demo.check(), output.toString());
        } finally {
            demo.stop();
        }
    }
}
