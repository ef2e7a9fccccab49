Feature: The command line says what is wrong in a line and exits with a stable status

  Scenario Outline: A command line that cannot be understood changes nothing and exits 2
    When the program is called with "<arguments>"
    Then the command fails with status 2 and says "<words>"

    Examples:
      | arguments                                                        | words                 |
      | nonsense                                                         | nonsense              |
      | settings nonsense                                                | nonsense              |
      | settings list --bogus=1 --platform=127.0.0.1:1                   | --bogus               |
      | settings delete /teams/x --platform=127.0.0.1:1 --revision=x     | --revision            |
      | settings list                                                    | --platform HOST:PORT  |
      | settings get teams --platform=127.0.0.1:1                        | a path is             |
      | settings set /teams/x --wait --file=/dev/null --platform=1.1.1.1:1 | [team] state        |
      | settings _editor                                                 | _editor               |
      | status --daemon=here --key=x                                     | --daemon HOST:PORT    |
      | check --config=/nonexistent.ini                                  | /nonexistent.ini      |

  Scenario: A misspelt flag is refused before anything is written
    Given a platform with both teams' settings
    When operator "ada" deletes "/teams/bottle-returns/" with a misspelt flag
    Then the command fails with status 2 and says "--forse"
    And the settings are as they were

  Scenario: A platform that cannot be asked exits 5
    When the program is called with "settings list --platform=127.0.0.1:1"
    Then the command fails with status 5 and says "nobody listens"

  Scenario: Every fault of a configuration is a line of its own, before any port opens
    Given a configuration file with four faults
    When the program is called to check it and to serve it
    Then both name file, section and option of each fault and exit 2

  Scenario: A new key is shown with its hash, and the key opens the account
    When the program is called with "settings new-key --json"
    Then the hash shown is that of the key shown

  Scenario: What a daemon thinks is shown for people and for programs
    Given a platform with both teams' settings
    And daemons "a, b" in domain "lagos-1" of region "lagos"
    Then "status, debug settings, debug peers, debug schedulers, debug engines" of daemon "a" work as text and as JSON

  Scenario: Every option and every command has its place in the documents
    Then docs/SETTINGS.md names every option of the daemon's file and of every settings path
    And docs/COMMANDS.md names every command and every exit status

  Scenario: A change during an outage exits 5, and one whose outcome cannot be known exits 6
    Given a platform with both teams' settings
    When operator "ada" changes the planner while the key-value service is out
    Then the command fails with status 5 and says "out of service"
    And the settings are as they were
    When operator "ada" changes the planner and the platform goes with the answer
    Then the command fails with status 6 and says "no answer"
    And the change was written all the same
